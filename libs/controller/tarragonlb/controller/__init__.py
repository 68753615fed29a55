"""Tasks that carry out scheduling decisions on a platform.

Each task owns its state and its connections.  The platform's protocols are
hidden behind the abstract interfaces of ``tarragonlb.controller.ports``.
"""
