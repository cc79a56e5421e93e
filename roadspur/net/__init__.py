"""roadspur.net: the real ingress, sockets round the decisions."""
