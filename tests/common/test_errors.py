"""The table of error kinds and their HTTP responses."""

from thistleusher.common.errors import NOT_EXECUTED, RESPONSES, ErrorKind


def test_every_kind_has_a_response_and_uncertain_kinds_guarantee_nothing():
    assert RESPONSES.keys() == set(ErrorKind)
    assert all(RESPONSES[k].retry_after_s > 0 for k in NOT_EXECUTED if RESPONSES[k].status in (429, 503))
    assert not {ErrorKind.BACKEND_FAILED, ErrorKind.DEADLINE_EXCEEDED, ErrorKind.INTERNAL_ERROR} & NOT_EXECUTED
