"""The replicated control state: a leader and its replicas store it on disk; the core's voters elect the leader.

An acknowledged change survives the loss of as many machines as the settings tolerate. A read returns only data that
is on the disks of the leader and all its replicas. The `node` module states the guarantees in full.
"""
