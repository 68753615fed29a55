"""The command-line tool of operators and teams.

Most commands make one call to the administration API and print the answer as
text or JSON.
"""
