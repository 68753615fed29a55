"""Typed settings from YAML documents, with the line of each value.

Each settings document has a path, such as ``/teams/archive``.  A document is
read either into a typed object or into a list of problems with their lines.
"""
