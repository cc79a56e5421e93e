"""Measurements of the programs and their parts: cost, timing, and which checks detect deliberately inserted faults.

Each module is a command, `python -m benchmarks.NAME`. The product does not import this package and relies on nothing
in it.
"""
