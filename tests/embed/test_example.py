"""Tests that the example in the library's documentation is up to date and runs, and that imports stay minimal."""

from __future__ import annotations

import importlib.util
import subprocess
import sys
from pathlib import Path

from tests.embed.host import Host
from tests.net.sockets import Client, run

EXAMPLE = Path("examples/embedded.py")


def test_the_page_shows_the_example_as_it_is():
    assert f"```python\n{EXAMPLE.read_text()}```" in Path("docs/library.md").read_text()


def test_the_example_serves_refuses_and_passes():
    spec = importlib.util.spec_from_file_location("embedded", EXAMPLE)
    example = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(example)

    async def main():
        host = Host(example.app)
        await host.start()
        client = await Client.connect(host.port)

        async def ask(path, member="ana", method="GET"):
            line = f"{method} {path} HTTP/1.1\r\nX-Member: {member}\r\nContent-Length: 0\r\n\r\n"
            return await client.ask(line.encode())

        status, headers, body = await ask("/matches")
        assert (status, body) == (200, b'["one","two"]') and headers["ratelimit-policy"] == '"basic";q=8;w=4'
        codes = [(await ask("/messages", method="POST"))[0] for _ in range(8)]
        assert codes[:3] == [200] * 3 and 429 in codes
        assert (await ask("/messages", "iva", "POST"))[0] == 200
        assert (await ask("/health", "nobody"))[0] == 200 and (await ask("/matches", "nobody"))[0] == 400
        client.writer.close()
        await host.stop()

    run(main())


def test_the_library_imports_no_framework_and_no_daemon():
    code = (
        "import sys, thistleusher.embed\nfor name in ('starlette', 'fastapi', 'uvloop', 'thistleusher.net'):\n"
        "    assert name not in sys.modules, name\n"
    )
    subprocess.run([sys.executable, "-c", code], check=True, timeout=60)
