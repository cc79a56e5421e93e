"""Measurements of the programs and of their parts: costs, times and what deliberate faults are found by.

Promises nothing to the product, which imports none of it; each module is a command, `python -m benchmarks.NAME`.
"""
