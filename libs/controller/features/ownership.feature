Feature: Which daemon owns which pools

  Scenario: Pools are assigned to different partitions while there are enough
    Given 2 daemons and 2 workers
    When the operators publish version 2 with the pools "pool-0 pool-1"
    And 2 seconds pass
    Then 3 pools are in partitions of their own

  Scenario: A pool keeps its partition when all daemons are replaced
    Given 2 daemons and 2 workers
    When the operators publish version 2 with the pools "pool-0 pool-1"
    And 2 seconds pass
    And a job of 2 tasks is submitted
    And all daemons are replaced by new ones
    And the operators publish version 3 with the pools "pool-3 pool-5"
    And 8 seconds pass
    Then no pool has changed its partition
    And the job is completed

  Scenario: A job of a pool without a partition is rejected at once as not run
    Given 1 daemons and 2 workers
    When the operators publish version 2 with the pools "pool-0"
    And 0.05 seconds pass
    And a job of pool "pool-0" is submitted
    Then the verdict is "not-run" within 0.1 seconds
    When 2 seconds pass
    And a job of pool "pool-0" is submitted
    Then the job was accepted
