"""Stand-ins for the platform and its endpoints, used by tests and the demo.

They offer the same HTTP interfaces as the real ones and can inject faults.
The daemon does not import this package.
"""
