"""The simulated core: control processes on simulated disks and links, with operators, clients and random faults.

Promises that the control state machines run unchanged, that one seed gives one run, and that a broken rule ends the run
with a `RuleViolationError`.
"""
