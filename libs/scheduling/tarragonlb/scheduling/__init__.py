"""Scheduling of jobs with many tasks on pools of workers.

A job is a small graph of steps, a step is a number of identical tasks, and a
task runs on one worker at a time as a numbered attempt.  The package does no
input or output: every decision is a function of the given state and ``now``.
The daemon passes events in and carries out the orders that are returned.
"""
