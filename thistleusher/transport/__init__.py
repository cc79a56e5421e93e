"""Communication between the system's processes: links, numbered state updates, the heartbeat ring, the call server.

A link delivers messages complete and in order, or it ends. It gives no other guarantee.
"""
