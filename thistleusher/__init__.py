"""thistleusher: admission, routing and attempt decisions of a quota gateway."""
