"""Clients of what all ingresses share: the counter service, and datagrams between ingresses.

Each call to the counter has exactly one outcome, in time; nothing here knows of clients' requests or of backends.
"""
