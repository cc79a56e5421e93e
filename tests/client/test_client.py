"""Both clients of the library over an in-memory transport: attempt ids, headers and results."""

import asyncio
import gzip
import tracemalloc

import httpx
import pytest

from thistleusher.client import Answered, Client, PlainClient, Refused, UnknownEnd
from thistleusher.client import client as client_module

HOST = "shop.example"


class Service:
    """Answers by a script whose steps are a status, an exception, or a status with headers."""

    def __init__(self, *script):
        self.script, self.seen, self.resolved = list(script), [], 0

    def __call__(self, request: httpx.Request) -> httpx.Response:
        if request.url.path == "/resolve":
            self.resolved += 1
            return httpx.Response(200, json={"addresses": ["a.test:1", "b.test:1"], "ttl_s": 5})
        self.seen.append(request)
        step = self.script.pop(0)
        if isinstance(step, Exception):
            raise step
        status, headers = step if isinstance(step, tuple) else (step, {})
        return httpx.Response(status, headers=headers, content=b"body")


def make_call(form, service, method="GET", **more):
    """Make one call with the given client class."""
    if form is PlainClient:
        with PlainClient(["d:1"], HOST, key="k", transport=httpx.MockTransport(service)) as client:
            return client.call(method, "/x", **more)

    async def play():
        async with Client(["d:1"], HOST, key="k", transport=httpx.MockTransport(service)) as client:
            return await client.call(method, "/x", **more)

    return asyncio.run(play())


both = pytest.mark.parametrize("form", [Client, PlainClient])


@both
def test_each_attempt_has_its_own_id_and_the_time_left(form):
    service = Service((503, {"Retry-After": "0.01"}), 200)
    assert make_call(form, service, "POST", body=b"b", deadline_s=2.0) == Answered(
        200, {"content-length": "4"}, b"body", 2
    )
    first, second = service.seen
    assert first.headers["x-attempt-id"] != second.headers["x-attempt-id"] and service.resolved == 1
    assert 2000 >= int(first.headers["x-deadline-ms"]) > int(second.headers["x-deadline-ms"]) > 1000
    assert first.headers["authorization"] == "Token k" and first.headers["host"] == HOST
    assert second.headers["connection"] == "close" and second.content == b"b"


@both
@pytest.mark.parametrize(
    "end",
    [
        httpx.ReadError("reset"),
        httpx.WriteError("cut"),
        httpx.ReadTimeout("silent"),
        httpx.RemoteProtocolError("half"),
        502,
        504,
    ],
    ids=repr,
)
def test_an_effectful_call_with_an_unknown_end_says_so_and_is_sent_once(form, end):
    service = Service(end, 200)
    with pytest.raises(UnknownEnd) as caught:
        make_call(form, service, "POST")
    assert len(service.seen) == 1 and caught.value.ids == (service.seen[0].headers["x-attempt-id"],)


@both
@pytest.mark.parametrize("end", [httpx.ReadError("reset"), httpx.RemoteProtocolError("half"), 502], ids=repr)
def test_a_read_is_sent_again_to_another_address(form, end):
    service = Service(end, 200)
    assert isinstance(make_call(form, service, repeatable=True), Answered) and len(service.seen) == 2
    if isinstance(end, Exception):
        assert service.seen[0].url.host != service.seen[1].url.host


@both
def test_what_was_never_sent_is_retried_whatever_it_is(form):
    service = Service(httpx.ConnectError("refused"), httpx.ConnectTimeout("dark"), 200)
    ended = make_call(form, service, "POST")
    assert isinstance(ended, Answered) and ended.tries == 3


@both
def test_refused_to_the_end_is_refused(form):
    service = Service(*[(503, {"Retry-After": "0.01"})] * 4)
    assert make_call(form, service, "POST") == Refused(503, 0.01, 4)


@both
def test_a_call_without_a_directory_ends_as_never_sent(form):
    def dark(request):
        raise httpx.ConnectError("dark")

    assert make_call(form, dark, "POST", deadline_s=0.5) == Refused(0, 0.0, 4)


def test_hooks_get_each_attempt():
    seen = []
    service = Service(httpx.ReadError("reset"), 200)
    with PlainClient(["d:1"], HOST, transport=httpx.MockTransport(service), on_try=seen.append) as client:
        client.get("/x")
    assert [(t.status, t.error.partition(":")[0]) for t in seen] == [(0, "ReadError"), (200, "")]


def test_an_answer_that_trickles_in_is_given_up_when_the_callers_time_is_over(monkeypatch):
    now, pieces, closed = [100.0], [], []
    monkeypatch.setattr("time.monotonic", lambda: now[0])

    class Trickle(httpx.SyncByteStream):
        def __iter__(self):
            for _ in range(1000):
                now[0] += 0.4
                pieces.append(b"x")
                yield b"x"

        def close(self):
            closed.append(now[0])

    def service(request):
        if request.url.path == "/resolve":
            return httpx.Response(200, json={"addresses": ["a.test:1"], "ttl_s": 500})
        return httpx.Response(200, stream=Trickle())

    with (
        PlainClient(["d:1"], HOST, transport=httpx.MockTransport(service)) as client,
        pytest.raises(UnknownEnd, match="ReadTimeout"),
    ):
        client.call("POST", "/x", deadline_s=2.0)
    assert closed and closed[0] <= 103.0 and len(pieces) < 10


class EndlessBody(httpx.SyncByteStream, httpx.AsyncByteStream):
    """A body that goes on far beyond the limit."""

    def __init__(self, piece):
        self.piece, self.taken = piece, 0

    def __iter__(self):
        while self.taken < 5_000_000:
            self.taken += len(self.piece)
            yield self.piece

    async def __aiter__(self):
        for piece in iter(self):
            yield piece


@both
@pytest.mark.parametrize("packed", [False, True], ids=["plain", "packed"])
def test_an_answer_without_end_is_cut_off_before_it_is_kept(form, packed, monkeypatch):
    """FAULT: bytes without end, kept by the caller; packed ones count as what they become."""
    monkeypatch.setattr(client_module, "MAX_ANSWER_BYTES", 1_000_000)
    # Behind the end of what was packed, the rest unpacks to nothing.
    body = EndlessBody(gzip.compress(bytes(500_000)) if packed else bytes(10_000))
    headers = {"Content-Encoding": "gzip"} if packed else {}

    def service(request):
        if request.url.path == "/resolve":
            return httpx.Response(200, json={"addresses": ["a.test:1"], "ttl_s": 5})
        return httpx.Response(200, headers=headers, stream=body)

    tracemalloc.start()
    with pytest.raises(UnknownEnd):
        make_call(form, service, "POST", body=b"b", deadline_s=5.0)
    peak_bytes = tracemalloc.get_traced_memory()[1]
    tracemalloc.stop()
    assert body.taken <= 1_100_000 and peak_bytes < 20_000_000


@both
def test_a_packed_answer_is_unpacked(form):
    def service(request):
        if request.url.path == "/resolve":
            return httpx.Response(200, json={"addresses": ["a.test:1"], "ttl_s": 5})
        return httpx.Response(200, headers={"Content-Encoding": "gzip"}, content=gzip.compress(b"unpacked"))

    assert make_call(form, service).body == b"unpacked"
