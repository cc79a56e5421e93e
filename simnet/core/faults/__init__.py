"""Faults of the simulated core: all kinds that the users' test bench has for the control state, under the same names.

Promises that a fault is injected at its time, or as soon afterwards as the tolerance permits (`losses`).
"""
