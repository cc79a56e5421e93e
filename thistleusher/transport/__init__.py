"""Communication between the system's processes: links, numbered state updates, the heartbeat ring, the call server.

A message on a link arrives complete and in order or the link ends; nothing else is promised.
"""
