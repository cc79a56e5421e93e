"""The replicated control state: a leader and its replicas keep it on disk, the voters of the core decide who leads.

Promises that an acknowledged change survives the loss of as many machines as the settings tolerate, and that a read
returns only what is on the disks of the leader and all its replicas; `node` states the guarantees in full.
"""
