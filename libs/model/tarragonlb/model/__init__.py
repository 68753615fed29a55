"""Immutable data that every other library consumes.

The modules here hold no behaviour beyond reading their own fields.  Records
describe changes of shared state, readings describe what the platform reports,
and a verdict says whether a request may have run.
"""
