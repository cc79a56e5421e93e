"""Persistence of one ingress's state, in a folder that an operator gives it.

The event loop never waits for the disk; a kill loses at most the changes of the last `commit_every`. No folder is used
by two processes at once, or by another ingress than its own, and a corrupt record costs only itself.
"""
