"""Decisions on jobs, pools and maintenance waves.

Each decision is a pure function of a view, which joins the folded state with
the latest readings of the platform.  It returns actions: records to commit and
calls of the platform.  An action that is lost is decided again in the next
round.
"""
