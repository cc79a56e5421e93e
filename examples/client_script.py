"""Read a balance, confirm a payout, and print the known outcome of each request.

    python examples/client_script.py --directory 127.0.41.11:18383 --host shop.example --key key-large

To run it against a system on loopback addresses, first start one with `python -m standins system --hold 60`.
"""

from __future__ import annotations

import argparse
import sys

from thistleusher.client import Answered, PlainClient, Refused, UnknownEnd


def main() -> int:
    """Return exit code 0 if both requests were served, 1 if one was not, 3 if the outcome of the payout is unknown."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--directory", action="append", required=True, help="host:port that serves /resolve")
    parser.add_argument("--host", required=True, help="host name of the service")
    parser.add_argument("--key", default="", help="API key of the tenant")
    parser.add_argument("--read", default="/read/1", help="path of the read")
    parser.add_argument("--pay", default="/pay/1", help="path of the payout")
    options = parser.parse_args()
    with PlainClient(
        options.directory,
        options.host,
        key=options.key,
        on_try=lambda t: print(f"  try {t.id} at {t.address}: {t.status or t.error}"),
    ) as client:
        balance = client.get(options.read)
        print(f"balance: {balance}")
        try:
            payout = client.call("POST", options.pay, body=b"{}")
        except UnknownEnd as unknown:
            # The library never repeats this request. Look it up by the printed ids, or ask an operator.
            print(f"payout: {unknown}", file=sys.stderr)
            return 3
        if isinstance(payout, Refused):
            print(f"payout: not run; retry in {payout.again_s:g} s")
    return 0 if all(isinstance(e, Answered) and e.status < 300 for e in (balance, payout)) else 1


if __name__ == "__main__":
    sys.exit(main())
