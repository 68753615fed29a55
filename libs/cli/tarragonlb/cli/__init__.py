"""The command-line tool of operators and teams.

Commands are thin: each makes one call of the administration API and shows
the answer as text or JSON.
"""
