"""Data-plane proxy: authenticates, rate-limits, routes and retries requests, and tells clients which proxies are up.

Guarantees: each request gets exactly one answer; a request that may have run is retried only if its route is declared
idempotent; a proxy keeps to its share of each shared limit without contact to other processes. Except for `program`
and the modules that own sockets, no module does I/O.
"""
