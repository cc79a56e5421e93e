"""Clients of what all ingresses share: the counter service, and datagrams between ingresses.

Each call has one verdict in time; neither knows of clients' HTTP nor of backends.
"""
