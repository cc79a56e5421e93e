"""Drives the decision module: events in, actions out, with the records and codecs that both sides share.

It promises one final answer for each request, and knows no sockets: backends, counter and peers are reached through the
protocols of `core.ports`.
"""
