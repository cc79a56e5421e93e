"""All readers of external bytes, each as a check function that takes bytes and returns a hashable result.

A reader may reject any input with its documented error. It must not raise another error, answer a client with status
500, buffer more than its limits, send a client an answer that cannot be parsed, or change state for a malformed
message.
"""

from __future__ import annotations

import json
import struct

from soak.case import CaseError, read_case
from soak.client_reader import check_client_request
from soak.file_readers import check_records, make_file_check, read_configuration_file, read_script_file
from soak.reader_tools import Check
from soak.service_readers import check_backend_answer, check_counter, check_datagram, check_discovery
from standins.faults import ScriptError
from standins.fleet_options import Options, settings
from thistleusher.core.datagrams import USAGE_ENTRY, USAGE_MARK, encode_customer
from thistleusher.net.config import InvalidConfigurationError
from thistleusher.net.counters_file import read_counters
from thistleusher.quota.messages import BALANCE_FORMAT, HANDSHAKE_FORMAT, HANDSHAKE_MARK, TRANSFER_FORMAT

_CALL = (
    b"POST /api/0000000000000007 HTTP/1.1\r\nHost: backend.local\r\nX-Call-Id: a1\r\nX-Call-Class: browse\r\n"
    b"X-Tier: plus\r\nX-Budget: 480m\r\nIdempotency-Key: k\r\nContent-Length: 5\r\n"
    b"X-Call-Terms: units=2,spread=3,first=1\r\n\r\nhello"
)
_OK = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\nX-Cost-Units: 1.5\r\n\r\n12.5"
_LIST = (
    b'{"index":41,"snapshot":true,"endpoints":[{"name":"s","address":"10.1.0.18:8080","zone":"a","type":"m2",'
    b'"group":3,"status":"SERVING","weight":1.0,"since_ms":0},{"name":"t","address":"10.1.0.18:8080","status":"DELETED"}]}\n'
)
_LIFE = (5000_000).to_bytes(8)
_ROW = TRANSFER_FORMAT.pack(encode_customer(1, 7), 5000 // 4 & 0xFF, 0, 3, 512, 640)
_SCRIPT = b'[[fault]]\nat = 2.0\ndo = "match.slow"\ntarget = 3\nfor = 1.5\nvalue = 0.2\n'


def _configuration() -> bytes:
    return json.dumps(
        {
            "name": "n0",
            "listen": "127.0.0.1:1",
            "discovery": "127.0.0.1:2",
            "counter": "127.0.0.1:3",
            "peer_listen": "127.0.0.1:4",
            "peers": ["127.0.0.1:4"] * 3,
            "seed": "1f",
            "limits": {"sockets": 99},
            "settings": settings(Options(), 0),
        }
    ).encode()


READERS: dict[str, tuple[Check, tuple[bytes, ...]]] = {
    "request": (
        check_client_request,
        (
            _CALL,
            _CALL.replace(b"Content-Length: 5", b"Transfer-Encoding: chunked") + b"\r\n0\r\n\r\n",
            b"GET /healthz HTTP/1.1\r\n\r\n",
            _CALL + _CALL.replace(b"a1", b"a2"),
        ),
    ),
    "answer": (
        check_backend_answer,
        (
            _OK,
            _OK + _OK,
            b"HTTP/1.1 503 X\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n",
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nabcd\r\n0\r\n\r\n",
        ),
    ),
    "counter": (
        check_counter,
        (_OK * 3, _OK.replace(b"12.5", b"-1.0"), b"HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n"),
    ),
    "discovery": (
        check_discovery,
        (
            b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(_LIST), _LIST),
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n" % (len(_LIST), _LIST),
        ),
    ),
    "datagram": (
        check_datagram,
        (
            USAGE_MARK + USAGE_ENTRY.pack(encode_customer(1, 7), 8, 8, 50),
            b"\x02" + _LIFE + _ROW,
            b"\x03" + _LIFE + _ROW,
            b"\x05" + _LIFE + _ROW,
            b"\x06" + _LIFE + BALANCE_FORMAT.pack(encode_customer(1, 7), 5000 // 4 & 0xFF, 512, 640, 100, 10, 50, 5),
            USAGE_MARK,
            b"12345",
            HANDSHAKE_MARK + HANDSHAKE_FORMAT.pack(5000_000, 5000_000, 5000_000, 0),
            HANDSHAKE_MARK + struct.pack(">QQQB", 1, 2, 1, 7),
        ),
    ),
    "config": (make_file_check(read_configuration_file, InvalidConfigurationError), (_configuration(),)),
    "counters": (
        make_file_check(read_counters, InvalidConfigurationError),
        (b'counters = ["10.2.0.2:6400", "10.2.0.3:6400"]\n',),
    ),
    "script": (
        make_file_check(read_script_file, ScriptError),
        (_SCRIPT, _SCRIPT + b'[[fault]]\nat = 1\ndo = "counter.restart"\n'),
    ),
    "records": (check_records, (b'["Told", 1.0, "s-0", "SERVING"]\n["Added", 1.0, "n", 2.0, 2.0]\n',)),
    "case": (make_file_check(read_case, CaseError), (b'{"kind": "fleet", "seed": 7, "size": {"faults": []}}\n',)),
}
