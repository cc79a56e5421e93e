"""The words that the system's three programs share: settings, configurations, routes, error kinds, events, calls.

Everything here is pure: texts and bytes in, checked values out; no sockets, no clock, no disk.
"""
