Feature: The log shows the terms of owners

  # Guards against a hand-over that leaves no trace of who owned which jobs.
  Scenario: Both owners list the open jobs of a partition that changes hands
    Given 2 daemons and 2 workers
    When a job of 64 tasks is submitted to each daemon
    And 1 seconds pass
    And the owner of the pool is asked to stop
    And 6 seconds pass
    Then the last line of its term lists 2 open jobs, as does the first of the next

  # Guards against an owner that waits for the records and says nothing.
  Scenario: An owner that can't read the records of its partition says so
    Given 2 daemons and 2 workers
    When the store answers no owner
    And the owner of the pool is killed
    And 8 seconds pass
    Then 2 to 3 lines say that the records of the partition are not read yet
