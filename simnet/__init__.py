"""The simulated network: the system's own state machines in virtual time, with faults that a seed draws.

Promises that what runs here is what ships, that one seed gives one run in every process, and that a run that breaks a
rule ends with the rule and, shrunk, the fewest faults that still break it.
"""
