"""The ingress on real sockets: client connections, backend connections, the discovery client and the daemon.

Each accepted request gets exactly one response, each exchange with a backend has exactly one outcome, and all input
from a peer is bounded in size and time.
"""
