"""What carries words between the system's processes: held connections, numbered news, heartbeats on a ring.

`news` and `ring` are pure; `links` and `api` have the sockets. A message on a held connection comes whole and in
order or the connection ends; nothing else is promised.
"""
