"""Stand-ins for the services around an ingress: match servers, counter, discovery, datagram relay and front.

They run as programs (`python -m standins`) or in the event loop of a test, on loopback only. All random numbers are
drawn from a seed, a script switches faults on and off at given times, and an auditor checks the recorded events.
"""
