"""The registry: which ingresses and backends there are, and the counter service.

One of the core's machines does it at a time, under a lease; the others follow what it tells, to go on from there.
`instances`, `members` and `counts` are pure.
"""
