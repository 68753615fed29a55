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

  # Guards against tasks of a lost VM that wait for its leases to run out,
  # although the platform already shows that the VM is down.
  Scenario: Tasks of a VM that the platform lists as down start elsewhere at once
    Given a fleet of 4 workers on a network that loses nothing
    And a job of 8 permanent tasks
    When 2 seconds pass
    And worker "w1" is lost
    And 2 seconds pass
    Then every task of "w1" has started elsewhere

  # Guards against permanent tasks that stay away when a worker and all owners
  # are lost together: the next owner knows no bound of the worker's leases.
  Scenario: Tasks of a lost VM start elsewhere at once after a loss of the owner
    Given a fleet of 4 workers on a network that loses nothing
    And a job of 8 permanent tasks
    When 2 seconds pass
    And worker "w1" is lost
    And the owner is killed
    And 3.5 seconds pass
    Then every task of "w1" has started elsewhere

  Scenario: A worker that is only unreachable stays listed and keeps its tasks
    Given a fleet of 4 workers on a network that loses nothing
    And a job of 8 permanent tasks
    When 2 seconds pass
    And worker "w1" becomes unreachable
    And the owner is killed
    And 3.5 seconds pass
    Then no task of "w1" has started elsewhere

  Scenario Outline: Listings of the VMs prove that a worker has ended, if <case>
    When listings at "<listed>" lack a worker that last answered at <answered>
    Then the worker has <outcome>

    Examples:
      | case                             | listed            | answered | outcome     |
      | two lack it                      | 1.0 1.5           | 0.5      | ended       |
      | two lack it and it never replied | 1.0 1.5           | never    | ended       |
      | only one lacks it                | 1.0               | 0.5      | not ended   |
      | one between shows it             | 1.0 1.2:shown 1.5 | 0.5      | not ended   |
      | it replied between               | 1.0 1.5           | 1.2      | not ended   |
      | the lists are empty              | 1.0:empty 1.5:empty | 0.5    | not ended   |

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

  # Guards against permanent tasks that stay away for as long as owners change
  # faster than the longest lease runs out.
  Scenario Outline: Permanent tasks of a lost worker are at work again in time although the owner <changes> every <seconds> s
    Given a fleet of 4 workers on a network that loses nothing
    And a job of 8 permanent tasks
    When 2 seconds pass
    And worker "w1" becomes unreachable
    Then "w1" had tasks when it became unreachable
    When the owner <changes> every <seconds> seconds until "w1" is replaced
    Then every task of "w1" has started elsewhere

    Examples: changes of the owner
      | changes              | seconds |
      | hands over           | 1       |
      | hands over           | 3       |
      | is killed            | 3       |
      | loses its membership | 2.5     |
      | loses its membership | 3       |

  # Guards against a task that runs twice: an owner extends a lease behind the
  # bound on which its successor relies.
  Scenario Outline: No lease is extended behind a stored bound, with the store <mode>
    Given a fleet of 4 workers on a network that loses nothing
    And a job of 8 permanent tasks
    When 2 seconds pass
    And worker "w1" becomes unreachable
    Then "w1" had tasks when it became unreachable
    When 1.2 seconds pass
    And "w1" is reachable for 1 second with the store <mode>
    And the owner is killed
    And 12 seconds pass
    Then every task of "w1" has started elsewhere

    Examples: modes of the store
      | mode |
      | up   |
      | down |

  Scenario: Lease bounds are written rarely, and only for workers with attempts
    Given a fleet of 4 workers on a network that loses nothing
    And worker "w2" becomes unreachable
    When 5 seconds pass
    Then no lease bound is stored
    Given a job of 8 permanent tasks
    When 2 seconds pass
    And worker "w1" becomes unreachable
    And 3 seconds pass
    Then a lease bound of "w1" was stored at most 3 times

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

  # Guards against starts that bring a worker over its capacity: they were
  # decided before an outage of the store, and the worker has shrunk since.
  Scenario Outline: A worker that shrinks while the store is down is not overfilled
    Given a fleet of 2 workers on a network that loses nothing
    And a job of 6 tasks
    When the store is down for <seconds> seconds and worker "w1" shrinks to <millicores> millicores
    And 1.5 seconds pass
    And worker "w1" grows to 4000 millicores
    And 15 seconds pass
    Then the job is completed

    Examples:
      | seconds | millicores |
      | 8       | 1000       |
      | 8       | 1500       |
      | 12      | 500        |

  # Guards against a task that runs twice: its start reached a worker that had
  # restarted under its id, and whose first report was taken as its loss.
  Scenario: A start that reaches the next incarnation of a worker is not lost
    When fleet 147 has a worker that crashes and restarts between two reports
    Then every job has ended

  Scenario: Invariants hold in fleets with random faults
    When fleets run with random faults
    Then every job has ended
