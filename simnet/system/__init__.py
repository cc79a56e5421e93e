"""The simulated system: control, registry and proxy processes with a platform, backends, clients and an operator.

Promises that the processes' state machines run unchanged, that one seed gives one run, and that a broken rule ends the
run with a `RuleViolationError`.
"""
