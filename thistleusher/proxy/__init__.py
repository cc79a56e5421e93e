"""The proxy: clients' requests by routes, keys, quotas and budgets to backends, and where clients should go.

`decisions`, `placement`, `quota` and `budgets` are pure; the sockets are those of the ingress in service
(`thistleusher.net`).
"""
