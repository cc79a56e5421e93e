"""Measure how the system's costs grow with its size: hollow proxies with real core processes, and fitted slopes.

The core's processes run unmodified. Hollow proxies differ from real ones only in that they serve no clients.
"""
