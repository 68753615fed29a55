Feature: The log says why ready steps wait

  # Guards against jobs behind their tenant's cap that no line names.
  Scenario: A job behind its tenant's cap is named in the log
    Given 3 daemons with the pools "pool a b" and a tenant with a cap of 3000
    When tasks last 8 seconds
    And 12 tasks of the tenant are handed in to pool "a"
    And 6 seconds of the pools pass
    Then the log says once that the job waits, with "cap of the tenant"
    And the line names the tenant and 6 waiting tasks

  # Guards against a job that waits for the store and looks like one without room.
  Scenario: A job whose start is not stored is named in the log
    Given 1 daemons and 4 workers
    When the store no longer takes decisions
    And a job of 2 tasks is submitted
    And 5 seconds pass
    Then the log says once that the job waits, with "decision still being stored"

  # Guards against a log whose lines on waiting steps push out all others.
  Scenario: 1,000 waiting jobs cause a bounded number of lines
    Given 1 daemons and 2 workers
    When 1000 jobs of 2 tasks are submitted over 2 seconds
    And 10 seconds pass
    Then at most 5 lines a second say that a step waits, and 5 that it no longer does
    And the lines count more than 900 steps with "no room"
