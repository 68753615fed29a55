"""Decisions on the path of a request: admission and endpoint choice.

Nothing here does input or output.  The daemon hands in events with the time
and carries out what is decided.
"""
