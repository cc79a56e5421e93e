"""Read the operator's file, one TOML file for all that the platform's configuration does not hold, before a start.

Promised: an unknown key, a wrong type or a value out of its range is one line that names file, line and key; each
value's origin can be shown; nothing is imported for a section that the file does not have.
"""
