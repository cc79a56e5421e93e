"""An exhaustive search of a small world of control processes: every order of events, up to a given depth.

Promises that every order within the depth and the budget of faults is covered, and that a violation is reported with a
shortest sequence of steps that leads to it.
"""
