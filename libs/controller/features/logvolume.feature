Feature: The log of a daemon stays small at a peak

  # Guards against lines on single jobs and rounds that push out all others: a log
  # of 4,000 lines held the last 10 seconds of a full partition.
  Scenario: At a peak an owner writes few lines and names each job and attempt
    Given a daemon that spends 0.3 ms of processor time on each call to its 60 workers
    When 500 jobs of 8 tasks are submitted over 5 seconds
    And 1 seconds pass
    Then the log has at most 30 lines a second
    And each job was logged as submitted once, with its verdict
    And each start and each end is logged once, at most 0.5 seconds late

  # Guards against the last submissions before an end that no line names.
  Scenario: What was collected is logged when the daemon ends
    Given 1 daemons and 2 workers
    When 10 jobs of 2 tasks are submitted over 0.2 seconds
    And 0.1 seconds pass
    And the owner of the pool is killed
    And 2 seconds pass
    Then each job was logged as submitted once, with its verdict

  # Guards against operators who wait for the line on the only job of a minute.
  Scenario: A lone submission is logged at once
    Given 1 daemons and 2 workers
    When 2 seconds pass
    And a job of 2 tasks is submitted
    And 2 seconds pass
    Then each job was logged as submitted once, with its verdict
    And the line was written at once
