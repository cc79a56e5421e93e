"""Clients of the services that ingresses share: the counter service, and datagrams between ingresses.

Each call to the counter gets exactly one outcome before its time-out. This package does not depend on clients' requests
or on backends.
"""
