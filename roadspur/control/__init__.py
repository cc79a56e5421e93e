"""The store of configuration: control state that a primary and its backup keep, and witnesses that keep epochs.

Promises that what was acknowledged outlives every loss that the settings allow; `control` states it, and is pure.
"""
