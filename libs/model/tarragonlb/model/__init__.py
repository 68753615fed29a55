"""Data types that all other libraries share.

Records describe changes of the shared state, readings describe what the
platform reports, and a verdict says whether a request may have run.  All of
them are immutable and only give access to their own fields.
"""
