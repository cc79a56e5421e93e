"""What outlives a process, where an operator gives a folder for it: members' stores, and whose life wrote them.

Promised: the event loop never waits for the disk; a kill loses what changed within `commit_every`; no folder is used by
two processes, or by another ingress than its own; a spoilt record costs itself only.
"""
