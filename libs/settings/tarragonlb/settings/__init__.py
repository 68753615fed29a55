"""Checked YAML settings that remember where each value came from.

Settings are documents under paths, one subtree for each team.  A document is
read into a typed object or into a list of problems, each with its line.
"""
