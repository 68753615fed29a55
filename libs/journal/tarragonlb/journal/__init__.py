"""Shared state that is built from the records in the platform's log.

Every entry VM reads the same records in the same order and folds them into a
state with the same function.  So all entry VMs reach the same state without
communicating with each other.  A writer learns from the fold whether its record
was accepted.
"""
