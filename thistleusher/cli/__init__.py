"""The command line of everything in the package: the programs, the ingress alone, and commands that only look at files.

Promised: a command's modules are imported only when it is invoked, and what is wrong is one line and an exit code.
"""
