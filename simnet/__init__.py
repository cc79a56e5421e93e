"""The simulated network: the system's own state machines in virtual time, with faults that a seed draws.

What runs here is what ships. After each step the rules are checked that can be seen in it; a run that breaks one
names the seed and the faults, cut down to the fewest that still break it. `python -m simnet --minutes N` draws fresh
seeds.
"""
