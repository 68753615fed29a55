"""Decisions on jobs, pools and maintenance waves.

Every decision is a pure function of a view: what the fold knows, and what the
platform reported last.  It returns actions: records to commit and acts to ask
of the platform.  An action that is lost is decided again in the next round.
"""
