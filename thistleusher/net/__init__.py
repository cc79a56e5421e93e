"""thistleusher.net: the real ingress, sockets round the decisions."""
