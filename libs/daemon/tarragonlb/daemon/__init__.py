"""The daemon that runs on each entry VM.

A process is a small set of trio tasks, each of which owns its sockets and its
state.  The libraries that this package imports make the decisions; the modules
here do the input and output that the decisions call for.
"""
