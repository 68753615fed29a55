"""Stand-ins of the platform and of endpoints, for tests and the demo.

They speak the same HTTP as the real ones, and fail on request.  Nothing of
the daemon imports them.
"""
