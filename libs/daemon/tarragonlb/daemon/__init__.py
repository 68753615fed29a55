"""The daemon that runs on each entry VM.

A process is a handful of tasks that own their sockets and their state.  The
decisions are taken by the libraries below; the modules here carry them out.
"""
