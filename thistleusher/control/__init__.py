"""The store of configuration: control state that a leader and its replicas keep, and witnesses that keep epochs.

Promises that what was acknowledged outlives every loss that the settings allow; `node` states it, and is pure.
"""
