"""How the system's costs grow with its size: hollow proxies beside real core processes, and the slopes of the figures.

Promises that the core's processes run as they ship, and that hollow proxies differ from real ones only by what they
serve.
"""
