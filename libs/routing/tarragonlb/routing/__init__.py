"""Request routing: admission control and endpoint selection.

These modules do no input or output.  The daemon passes in events together with
the current time and executes the returned actions.
"""
