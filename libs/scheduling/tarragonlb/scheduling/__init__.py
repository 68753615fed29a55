"""Decisions about jobs of many tasks on pools of workers.

A job is a small graph of steps, a step is a number of equal tasks, and a task
runs on one worker at a time as a numbered attempt.  Everything here is a
function of a view and ``now``: tasks of the daemon feed events in, and carry
the orders out that come back.
"""
