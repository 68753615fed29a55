"""Narrow interfaces to the platform and their HTTP clients."""
