"""Reads the operator's file: one TOML file with all options that are not in the platform's configuration.

Guarantees: an unknown key, a wrong type or a value out of range is reported in one line that names the file, the line
and the key. The origin of each value can be shown. Nothing is imported for a section that the file does not have.
"""
