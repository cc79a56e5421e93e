"""Tests that common HTTP clients can read the retry time and the reason from a refusal."""

from __future__ import annotations

import asyncio
import json

import aiohttp
import httpx
import pytest
import urllib3

from tests.embed.host import Host
from tests.embed.middleware import TERMS, HandlerApp, send_response
from tests.embed.test_ingress import make_ingress
from tests.net.sockets import run
from thistleusher.core.answers import headers_of, problem_of
from thistleusher.core.ports import Final, Verdict
from thistleusher.embed import MemoryCounter, QuotaMiddleware

HEADERS = {"X-Call-Class": "read", "X-Tier": "basic", "X-Budget": "2000m", "X-Call-Terms": TERMS}
PATH = "/api/0000000000000007"


async def with_host(ask, **options):
    """Call `ask` with the port of a host whose member has used up its quota, and return the result."""

    async def act(scope, receive, send):
        await send_response(send)

    ingress = make_ingress(counter=MemoryCounter(lambda: 1000.0))
    await ingress.open()
    host = Host(QuotaMiddleware(HandlerApp(act), ingress, **options))
    await host.start()
    try:
        async with httpx.AsyncClient(base_url=f"http://127.0.0.1:{host.port}") as client:
            for n in range(4):
                assert (await client.get(PATH, headers={**HEADERS, "X-Call-Id": f"first{n}"})).status_code == 200
        return await ask(host.port)
    finally:
        await host.stop()
        await ingress.close()


def test_urllib3_waits_for_retry_after_instead_of_raising():
    def ask(port):
        waited = []

        class Waits(urllib3.Retry):
            def sleep_for_retry(self, response):
                waited.append(self.get_retry_after(response))
                return True

        with urllib3.PoolManager() as pool, pytest.raises(urllib3.exceptions.MaxRetryError):
            pool.request(
                "GET",
                f"http://127.0.0.1:{port}{PATH}",
                headers={**HEADERS, "X-Call-Id": "u"},
                retries=Waits(total=2, status_forcelist=[429], allowed_methods=None),
            )
        return waited

    waited = run(with_host(lambda port: asyncio.to_thread(ask, port)))
    assert waited == [1, 1]
    with pytest.raises(urllib3.exceptions.InvalidHeader):  # urllib3 rejects a decimal value
        urllib3.Retry().parse_retry_after("0.431")


def test_httpx_and_aiohttp_find_whole_seconds_the_exact_time_and_the_reason():
    async def ask(port):
        url, headers = f"http://127.0.0.1:{port}{PATH}", {**HEADERS, "X-Call-Id": "c"}
        async with httpx.AsyncClient() as one:
            a = await one.get(url, headers=headers)
        async with aiohttp.ClientSession() as two, two.get(url, headers=headers) as b:
            return [(a.status_code, a.headers, a.json()), (b.status, b.headers, await b.json(content_type=None))]

    for status, headers, body in run(with_host(ask, problem_details=True)):
        assert status == 429 and headers["Retry-After"] == "1" and 0 < int(headers["Retry-After-Ms"]) <= 1000
        assert headers["Content-Type"] == "application/problem+json"
        assert (body["type"], body["title"], body["status"]) == ("about:blank", "Too Many Requests", 429)
        assert body["reason"] == "over-quota" and body["retry_in"] == int(headers["Retry-After-Ms"]) / 1000


def test_decimals_where_the_clients_are_known_to_read_them():
    async def ask(port):
        async with httpx.AsyncClient() as client:
            return await client.get(f"http://127.0.0.1:{port}{PATH}", headers={**HEADERS, "X-Call-Id": "d"})

    answer = run(with_host(ask, decimal_retry_after=True))
    assert answer.headers["retry-after"] == "1.000" and "retry-after-ms" not in answer.headers and not answer.content


@pytest.mark.parametrize("verdict", [v for v in Verdict if v is not Verdict.SERVED])
def test_every_verdict_has_a_description(verdict):
    body = json.loads(problem_of(Final(verdict, 0.431)))
    known = verdict in (Verdict.OVER_QUOTA, Verdict.NO_ROOM)
    assert body["reason"] and body["status"] >= 400 and ("retry_in" in body) == known
    assert headers_of(Final(verdict, 0.431), whole=True) == (
        ((b"Retry-After", b"1"), (b"Retry-After-Ms", b"431")) if known else ()
    )
    assert headers_of(Final(verdict, 0.0)) == ()
