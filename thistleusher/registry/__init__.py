"""The registry: lists proxies and backends, and runs the counter service for tenants' rate limits.

One registry at a time is active, under the lease of a singleton role. The others subscribe to its list and can take
over.
"""
