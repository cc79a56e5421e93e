"""The operator's configuration: its records, validity, look-up tables, and its form as items of the control state.

Whoever has a configuration from a control node reads it without checks: a control node has checked it completely.
"""
