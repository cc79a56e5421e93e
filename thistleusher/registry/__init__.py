"""The registry: which proxies and backends there are, and the counter service for tenants' rate limits.

One registry at a time works, under the lease of a singleton role; the others subscribe to its list and can take over.
"""
