"""The proxy forwards clients' requests to backends by routes, keys, quotas and budgets, and directs clients to proxies.

It promises that each request has one answer, that none which may have run is repeated unless its route allows it, and
that its part of each shared limit holds without the others; all but `program` and the modules with sockets are pure.
"""
