"""The command line of the package: the three programs, the stand-alone ingress, and commands that only read files.

Guarantees: a command's modules are imported only when it is invoked, and an error is reported as one line and an exit
code.
"""
