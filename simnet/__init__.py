"""The simulated network: the production state machines in virtual time, with random faults from a seed.

Promises that the production code runs here unchanged, that a seed gives the same run in every process, and that a run
that breaks a rule ends with an error that names the rule. A minimal subset of its faults can be computed.
"""
