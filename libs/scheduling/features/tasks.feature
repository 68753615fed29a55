Feature: Tasks of jobs on workers that fail

  Scenario: A job of two steps runs in order and completes
    Given a fleet of 4 workers
    And a job of 6 tasks followed by 4 tasks
    When 10 seconds pass
    Then the job is completed

  Scenario: A task is not started again while its worker is unreachable
    Given a fleet of 4 workers
    And a job of 8 long tasks
    When 0.5 seconds pass
    And worker "w1" becomes unreachable
    And 2 seconds pass
    Then no task of "w1" has started elsewhere
    When 12 seconds pass
    Then the job is completed

  Scenario: A step that allows copies does not wait for a silent worker
    Given a fleet of 4 workers on a network that loses nothing
    And a job of 8 tasks that allow copies
    When 0.6 seconds pass
    And worker "w1" becomes unreachable
    Then "w1" had tasks when it became unreachable
    When 3 seconds pass
    Then the job is completed

  Scenario: Tasks of a lost worker start elsewhere although owners change
    Given a fleet of 4 workers on a network that loses nothing
    And a job of 8 tasks
    When 0.6 seconds pass
    And worker "w1" becomes unreachable
    Then "w1" had tasks when it became unreachable
    When the owner is killed every 3 seconds, 4 times
    Then every task of "w1" has started elsewhere

  Scenario: Tasks keep running when their owner is killed
    Given a fleet of 4 workers
    And a job of 8 long tasks
    When 0.6 seconds pass
    And the owner is killed
    And 12 seconds pass
    Then the job is completed
    And no task was started more than 2 times

  Scenario: A worker that fails all tasks gets one task at a time
    Given a fleet of 4 workers
    And worker "w1" fails all tasks
    And a job of 40 tasks
    When 20 seconds pass
    Then the job is completed
    And worker "w1" has failed at most 14 tasks

  Scenario: Stalled attempts are stopped and start elsewhere
    Given a fleet of 4 workers
    And worker "w1" makes no progress
    And a job of 8 tasks
    When 12 seconds pass
    Then the job is completed

  Scenario: A cancelled job is stopped on all workers
    Given a fleet of 4 workers
    And a job of 8 long tasks
    When 0.6 seconds pass
    And the job is cancelled
    And 2 seconds pass
    Then the job stays cancelled and no task of it runs

  Scenario: Work goes on through an outage of the store
    Given a fleet of 4 workers
    And a job of 8 long tasks
    When 0.6 seconds pass
    And the store is down for 4 seconds
    And 8 seconds pass
    Then the job is completed
    And no task was started more than 1 times

  Scenario: Invariants hold in fleets with random faults
    When fleets run with random faults
    Then every job has ended
