"""Faults that a simulated core meets: each kind that the users' bench has for the control side, by the bench's names.

Promises that a fault happens at its time, or as soon after as the tolerance of the settings allows it (`losses`).
"""
