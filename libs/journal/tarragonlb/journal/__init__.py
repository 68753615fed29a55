"""Shared state, folded from the platform's log.

Every entry VM reads the same records in the same order and folds them with
the same function, so all of them come to the same state without talking to
each other.  A writer learns from the fold whether its record counted.
"""
