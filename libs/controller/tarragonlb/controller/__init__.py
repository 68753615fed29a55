"""Tasks that carry scheduling decisions out on a platform.

Each task owns its state and its connections.  What the platform speaks is
behind the abstract interfaces of ``tarragonlb.controller.ports``.
"""
