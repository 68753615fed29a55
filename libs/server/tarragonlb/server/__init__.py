"""An HTTP/1.1 server whose connections can't end the process.

``serve_http`` binds addresses and serves an ASGI application on them.  Each
connection is a task of its own with one boundary for errors.
"""
