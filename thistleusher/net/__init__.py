"""The ingress on real sockets: clients' connections, connections to backends, discovery, and the daemon.

Each request that is taken gets one response, each exchange with a backend has one outcome, and everything that a peer
sends is bounded in size and time.
"""
