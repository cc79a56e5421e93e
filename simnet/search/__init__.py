"""An exhaustive search of a small world of control processes: every order of events, to a stated depth.

Promises that no order within the depth and the budget of faults is left out, and that a rule broken by one of them is
reported with the shortest steps that lead there.
"""
