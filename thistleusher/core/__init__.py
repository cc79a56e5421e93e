"""The driver of the decision module (events in, actions out), with the records and codecs that both sides share.

The driver gives each request one final answer. It does no network I/O itself, but reaches backends, counter and peers
through the protocols of `core.ports`.
"""
