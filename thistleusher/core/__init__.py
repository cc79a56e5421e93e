"""Drives the decisions: events in, actions out, one final answer for each request; no HTTP and no sockets.

It reaches backends, counter and peers through the protocols of `core.ports`; the daemon and the library are
both users of it.
"""
