"""A proxy's record of admitted requests, and its reports to new counters."""

from thistleusher.proxy.admitted_requests import AdmissionReporter, AdmittedRequests
from thistleusher.transport.messages import AdmissionReport

SPAN_S = 5.0
SLOT_S = 0.25


def test_admissions_are_summed_up_by_tenant_and_slot_as_of_the_slots_ends():
    admitted = AdmittedRequests(0.0, SPAN_S)
    for at in (10.0, 10.1, 10.3):
        admitted.add(at, "a")
    admitted.add(10.3, "b")
    assert admitted.by_tenant() == {"a": [(10.25, 2), (10.5, 1)], "b": [(10.5, 1)]}


def test_two_spans_are_remembered_and_nothing_from_before_the_start_is_known():
    admitted = AdmittedRequests(3.0, SPAN_S)
    admitted.add(4.0, "a")
    assert admitted.complete_since(8.0) == 3.0
    admitted.add(16.0, "a")
    assert admitted.by_tenant() == {"a": [(16.25, 1)]}
    assert admitted.complete_since(16.0) == 6.0


def test_a_report_is_repeated_until_it_is_acknowledged_and_holds_nothing_that_came_after_the_first():
    admitted = AdmittedRequests(0.0, SPAN_S)
    admitted.add(10.0, "a")
    reporter = AdmissionReporter("p@0.000", admitted)
    assert reporter.due(10.5) is None
    reporter.counter_changed(10.5, "c#2")
    assert reporter.due(10.5) == AdmissionReport("p@0.000", "c#2", 10.0, {"a": [(0.25, 1)]})
    admitted.add(10.6, "a")
    assert reporter.due(10.6) is None
    assert reporter.due(11.0) == AdmissionReport("p@0.000", "c#2", 10.5, {"a": [(0.75, 1)]})
    assert reporter.due(15.5) == AdmissionReport("p@0.000", "c#2", 15.0, {})  # the admission is older than a span
    reporter.acknowledged("c#1")
    assert reporter.due(16.0) is not None
    reporter.acknowledged("c#2")
    assert reporter.due(17.0) is None


def test_a_counter_whose_name_has_no_term_takes_no_reports():
    reporter = AdmissionReporter("p@0.000", AdmittedRequests(0.0, SPAN_S))
    reporter.counter_changed(1.0, "c")
    assert reporter.due(1.0) is None and reporter.counter == "c"
