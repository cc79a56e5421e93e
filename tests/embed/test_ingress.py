"""Tests of the library in asyncio code: admission, settling, cancellation at every point, and misuse."""

from __future__ import annotations

import asyncio
import math

import pytest

from standins.counter import Counter
from tests.helpers import CEILED, KEYED, SAFE, UNSAFE
from tests.net.sockets import datagram_addresses, run, until
from thistleusher.core import events
from thistleusher.core.events import Outcome
from thistleusher.core.settings import PlanSettings, Settings
from thistleusher.embed import BadRequest, Call, EmbeddedIngress, MemoryCounter, NotServed, PeerAddresses, Verdict

PLAN = PlanSettings("basic", rate=0.001, burst=8.0)  # a refill too slow to matter within a test
CALL = Call(7, "basic", "read", 2.0)


def settings(**more):
    return Settings(
        **{
            **dict(
                classes=(SAFE, KEYED, UNSAFE),
                plans=(PLAN, CEILED),
                counter_timeout=1.0,
                max_units=4.0,
                settles=True,
                max_retry_after=1.0,
            ),
            **more,
        }
    )


def make_ingress(**more):
    counter = more.pop("counter", None)
    return EmbeddedIngress(settings(**more), counter=counter, clock=lambda: 1000.0, seed=1)


class ManualCounter:
    """A counter port that never replies by itself; the test submits the replies."""

    def __init__(self):
        self.names = []

    def add(self, name, amount, lifetime):
        self.names.append(name)

    def close(self):
        pass


def nothing_in_flight(ingress):
    gateway = ingress.driver.gateway
    return (
        ingress.held == 0
        and not gateway.attempts.requests
        and not gateway.attempts.queue
        and gateway.fleet.backends.outstanding == 0
        and not gateway.admission.counter_calls
    )


def test_member_is_held_to_its_quota_and_refused_with_a_retry_time():
    async def main():
        counter = MemoryCounter(lambda: 1000.0)
        async with make_ingress(counter=counter) as ingress:
            for _ in range(4):
                async with ingress.admit(CALL):
                    pass
            with pytest.raises(NotServed) as refused:
                async with ingress.admit(CALL):
                    pytest.fail("not admitted")
            assert refused.value.final.verdict is Verdict.OVER_QUOTA and refused.value.final.retry_in == 1.0
            async with ingress.admit(CALL._replace(member=8)):
                pass  # quotas of members are independent
            assert sorted(counter.totals().values()) == [2.0, 8.0]
            assert ingress.room(7, "basic") == 0.0 and ingress.room(8, "basic") == 6.0
            assert ingress.room(9, "basic") == 8.0 and nothing_in_flight(ingress)

    run(main())


def test_true_units_are_settled_and_invalid_units_rejected():
    async def main():
        counter = MemoryCounter(lambda: 1000.0)
        async with make_ingress(counter=counter) as ingress:
            async with ingress.admit(CALL) as admission:
                for bad in (-1.0, 4.1, math.nan, math.inf):
                    with pytest.raises(BadRequest):
                        admission.settle(bad)
                admission.settle(1.0)
                admission.settle(4.0)
            assert ingress.room(7, "basic") == 4.0
            async with ingress.admit(CALL):
                pass
            assert list(counter.totals().values()) == [6.0]  # settled with the next counter call

    run(main())


def test_exception_in_the_host_body_propagates_and_counts_as_app_failure():
    async def main():
        async with make_ingress() as ingress:
            with pytest.raises(KeyError):
                async with ingress.admit(CALL):
                    raise KeyError("x")
            assert ingress.driver.gateway.fleet.backends["app"].errors > 0 and nothing_in_flight(ingress)

    run(main())


def test_a_body_over_its_time_is_ended_and_an_unsafe_one_has_failed():
    async def main():
        async with make_ingress() as ingress:
            for cls, verdict in (("read", Verdict.NO_ROOM), ("once", Verdict.FAILED)):
                with pytest.raises(NotServed) as ended:
                    async with ingress.admit(CALL._replace(class_name=cls, budget=0.05)):
                        await asyncio.Event().wait()
                assert ended.value.final.verdict is verdict
            assert nothing_in_flight(ingress)
            assert not asyncio.current_task().cancelling()

    run(main())


def test_started_response_may_exceed_the_deadline():
    async def main():
        async with make_ingress() as ingress:
            async with ingress.admit(CALL._replace(budget=0.02)) as admission:
                assert admission.begin() and admission.begin()
                held = ingress.driver.in_flight[admission.request.id]
                ingress.driver._expire(held)  # the deadline passes
                assert ingress.held == 1
            assert nothing_in_flight(ingress)

    run(main())


@pytest.mark.parametrize("where", ["counter", "queue", "body"])
def test_a_task_cancelled_anywhere_leaves_nothing_in_flight_and_is_charged_once(where):
    async def main():
        counter = Counter(clock=lambda: 1000.0)
        await counter.start()
        go = asyncio.Event()
        async with EmbeddedIngress(settings(), counter=counter.address, clock=lambda: 1000.0, seed=1) as ingress:
            inside = []

            async def work(member):
                async with ingress.admit(CALL._replace(member=member)):
                    inside.append(member)
                    await go.wait()

            others = []
            if where == "queue":
                ingress.driver.gateway.fleet.slots = 1.0
                others = [asyncio.create_task(work(1))]
                await until(lambda: inside)
            counter.silence(where == "counter")
            task = asyncio.create_task(work(7))
            await until(
                {
                    "counter": lambda: ingress.driver.gateway.admission.counter_calls,
                    "queue": lambda: ingress.driver.gateway.attempts.queue,
                    "body": lambda: 7 in inside,
                }[where]
            )
            task.cancel()
            with pytest.raises(asyncio.CancelledError):
                await task
            counter.silence(False)
            go.set()
            await asyncio.gather(*others)
            await until(lambda: nothing_in_flight(ingress) or ingress.driver.gateway.attempts.queue)
            async with ingress.admit(CALL._replace(member=9)):
                pass
            await until(lambda: nothing_in_flight(ingress))
            assert (7 in inside) == (where == "body")
            totals = sorted(counter.totals().values())
            assert totals == [2.0] * len(totals) and len(totals) == 2 + len(others)  # each member is charged once
        await counter.stop()

    run(main())


def test_request_cancelled_during_admission_never_runs(caplog):
    async def main():
        async with make_ingress() as ingress:
            ran = []

            async def work():
                async with ingress.admit(CALL):
                    ran.append(1)

            asked = ManualCounter()
            ingress.driver.counter = asked
            for cancel_first in (False, True):
                task = asyncio.create_task(work())
                await until(lambda: asked.names)
                steps = [
                    lambda: ingress.driver.submit(events.CounterReply(asked.names.pop(), Outcome.OK, 0.0, 2.0)),
                    task.cancel,
                ]
                for step in reversed(steps) if cancel_first else steps:  # both happen before the task runs again
                    step()
                with pytest.raises(asyncio.CancelledError):
                    await task
                assert not ran and nothing_in_flight(ingress)
        assert not caplog.records  # no error was logged

    run(main())


def test_failed_request_is_not_retried_regardless_of_max_attempts():
    async def main():
        async with EmbeddedIngress(settings(max_attempts=3), clock=lambda: 1000.0, seed=1) as ingress:
            admission = ingress.admit(CALL)
            with pytest.raises(KeyError):
                async with admission:
                    raise KeyError("x")
            assert admission.final is not None and admission.final.verdict is Verdict.NO_ROOM  # without a retry
            assert nothing_in_flight(ingress)

    run(main())


def test_a_host_that_cancels_while_time_runs_out_stays_cancelled():
    async def main():
        async with make_ingress() as ingress:

            async def work():
                async with ingress.admit(CALL) as admission:
                    try:
                        await asyncio.Event().wait()
                    finally:
                        task.cancel()  # cancelled by the host, in addition to the interrupt by the ingress
                        assert admission.over

            task = asyncio.create_task(work())
            await until(lambda: ingress.held)
            held = next(iter(ingress.driver.in_flight.values()))
            await until(lambda: held.attempt is not None)
            await asyncio.sleep(0)
            ingress.driver._expire(held)
            with pytest.raises(asyncio.CancelledError):
                await task
            assert nothing_in_flight(ingress)

    run(main())


@pytest.mark.parametrize(
    "change",
    [
        dict(plan="gold"),
        dict(member=-1),
        dict(member=1 << 33),
        dict(member=True),
        dict(member=None),
        dict(units=0.0),
        dict(units=math.nan),
        dict(units=5.0),
        dict(units=-1.0),
        dict(units="2"),
        dict(class_name="write"),
        dict(budget=-1.0),
        dict(budget=math.nan),
        dict(spread=2),
        dict(first=1),
    ],
)
def test_a_call_that_cannot_be_used_is_counted_and_not_charged(change):
    async def main():
        counter = MemoryCounter()
        async with make_ingress(counter=counter) as ingress:
            with pytest.raises(BadRequest, match="expected|no such"):
                ingress.admit(CALL._replace(**change))
            assert ingress.invalid == 1 and counter.totals() == {} and nothing_in_flight(ingress)

    run(main())


def test_misuse_raises_clear_errors():
    async def main():
        ingress = make_ingress()
        with pytest.raises(RuntimeError, match="not open"):
            ingress.admit(CALL)
        async with ingress:
            with pytest.raises(RuntimeError, match="opened before"):
                await ingress.open()
            admission = ingress.admit(CALL)
            async with admission:
                pass
            with pytest.raises(RuntimeError, match="once only"):
                await admission.acquire()
            other = ingress.admit(CALL)
        with pytest.raises(RuntimeError, match="closed"):
            ingress.admit(CALL)
        with pytest.raises(RuntimeError, match="closed"):
            await other.acquire()
        with pytest.raises(RuntimeError, match="opened before"):
            await ingress.open()
        await ingress.close()

    run(main())


def test_loops_one_after_another_each_want_an_ingress_of_their_own():
    ingress = make_ingress()
    run(ingress.open())

    async def main():
        with pytest.raises(RuntimeError, match="another event loop"):
            ingress.admit(CALL)
        async with make_ingress() as fresh, fresh.admit(CALL):
            pass

    run(main())
    run(main())


def test_closing_answers_waiting_requests_and_ends_running_ones():
    async def main():
        counter = Counter()
        await counter.start()
        ingress = EmbeddedIngress(settings(), counter=counter.address)
        await ingress.open()
        running = asyncio.Event()

        async def work(cls, member):
            async with ingress.admit(CALL._replace(class_name=cls, member=member)):
                running.set()
                await asyncio.Event().wait()

        first = asyncio.create_task(work("once", 1))
        await running.wait()
        counter.silence(True)
        second = asyncio.create_task(work("read", 2))
        await until(lambda: ingress.held == 2)
        await ingress.close()
        ends = await asyncio.gather(first, second, return_exceptions=True)
        assert [e.final.verdict for e in ends] == [Verdict.FAILED, Verdict.NO_ROOM]
        await counter.stop()

    run(main())


def test_bad_addresses_and_settings_are_refused_at_once():
    for error, more in (
        ("expected host:port", dict(counter="nowhere")),
        ("expected 1 addresses", dict(peers=PeerAddresses("127.0.0.1:1", ()))),
    ):
        with pytest.raises(ValueError, match=error):
            EmbeddedIngress(settings(), **more)
    with pytest.raises(ValueError, match="counter_timeout"):
        EmbeddedIngress(settings(counter_timeout=0.0))


def test_peers_report_to_one_another_what_was_admitted():
    async def main():
        addresses = tuple(datagram_addresses(2))
        counter = MemoryCounter()
        both = [
            EmbeddedIngress(
                settings(instances=2, me=n, peers=True, peer_in_per_s=100.0),
                counter=counter,
                peers=PeerAddresses(addresses[n], addresses),
            )
            for n in range(2)
        ]
        async with both[0], both[1]:
            for _ in range(3):
                async with both[0].admit(CALL):
                    pass
            await until(lambda: both[1].room(7, "basic") < 2.5)

    run(main())


def test_memory_counter_expires_counts_after_their_lifetime():
    now = [1000.0]
    counter = MemoryCounter(lambda: now[0])
    for name in range(1000):
        counter.add(name, 1.0, 5.0)
    now[0] += 4.9
    assert counter.add(3, 1.0, 5.0) == 2.0 and len(counter.counts) == 1000
    now[0] += 0.2
    assert counter.add(3, 1.0, 90.0) == 1.0
    assert len(counter.counts) == 1 == len(counter.expirations)
    now[0] += 60.0
    assert counter.totals() == {}
