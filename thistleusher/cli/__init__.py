"""Commands beside serving: they read and print, and start nothing."""
