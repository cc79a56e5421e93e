"""How the program's log goes out, where an operator's file says so: as JSON lines or text, from a thread of its own.

Promised: the event loop never waits for whoever reads standard error; what does not fit into the queue is counted, and
the count is said in the next line that goes out.
"""
