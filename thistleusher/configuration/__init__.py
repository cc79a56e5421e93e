"""The operator's configuration: its records, validation, look-up tables, and its form as items of the control state.

A configuration received from a control process is read without checks, because the control process has validated it.
"""
