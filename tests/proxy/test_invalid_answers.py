"""What the log says of backends whose answers are none."""

from thistleusher.proxy.invalid_answers import MAX_BACKENDS, REPORT_INTERVAL_S, InvalidAnswers, Report


def test_answers_are_reported_by_backend_at_most_once_an_interval():
    answers = InvalidAnswers(0.0)
    for reason in ("malformed", "too long"):
        answers.record("i-1", reason)
    answers.record("i-2", "malformed")
    assert answers.due(1.0) == [Report("i-1", 2, "too long"), Report("i-2", 1, "malformed")]
    answers.record("i-1", "again")
    assert answers.due(1.0 + 0.9 * REPORT_INTERVAL_S) == []
    assert answers.due(1.0 + REPORT_INTERVAL_S) == [Report("i-1", 1, "again")]
    assert answers.due(100.0) == []


def test_backends_beyond_the_bound_are_not_kept():
    answers = InvalidAnswers(0.0)
    for n in range(1000):
        answers.record(f"i-{n}", "malformed")
    assert len(answers.due(1.0)) == MAX_BACKENDS
