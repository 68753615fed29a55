Feature: Errors in tasks that belong to no owner

  # Guards against an end of the process: an error in one of these tasks passed
  # to the nursery of the process.
  Scenario Outline: A task that fails starts again, and no task of a job is lost
    Given 2 daemons and 2 workers
    When a job of 6 tasks is submitted to each daemon
    And 0.4 seconds pass
    And the next <times> calls of "<call>" fail
    And the operators publish version 2
    And worker "w1" shrinks to 3000 millicores
    And 12 seconds pass
    And a job of 4 tasks is submitted to each daemon
    And 4 seconds pass
    Then all jobs are completed, and every task was started once
    And all daemons know version 2 and that worker "w1" has shrunk
    And <lines> lines say that the task "<task>" failed
    And no daemon has ended

    Examples:
      | task        | call               | times | lines |
      | operators   | decode operators   | 1     | 1     |
      | operators   | decode operators   | 5     | 5     |
      | workers     | decode worker      | 1     | 1     |
      | workers     | decode worker      | 5     | 5     |
      | pools       | follow partition   | 2     | 2     |
      | fleet state | index fleet state  | 1     | 1     |
      | fleet state | index fleet state  | 5     | 5     |
      | partition   | index jobs         | 1     | 1     |
      | partition   | index jobs         | 2     | 2     |
      | partition   | index jobs         | 5     | 5     |
      | ownership   | find bid           | 1     | 1     |
      | ownership   | find bid           | 5     | 5     |
      | ownership   | build statuses     | 2     | 1     |

  # Guards against a partition that two daemons own: the terms of a failed task
  # went on until the membership expired.
  Scenario: A daemon whose ownership fails gives its partitions up first
    Given 2 daemons and 2 workers
    When a job of 6 tasks is submitted
    And 0.4 seconds pass
    And each search for a bid fails at the owner of the pool
    And 1.5 seconds pass
    Then the other daemon owns the pool
    When 4 seconds pass
    Then all jobs are completed, and every task was started once
    And no daemon has ended

  # Guards against LOST: a term that is resumed numbers its appends anew, and the
  # store takes them for repeated ones.
  Scenario: After an error a daemon does not resume its term
    Given 1 daemons and 2 workers
    When a job of 6 tasks is submitted
    And 3 seconds pass
    And no member can leave a group
    And the next 1 calls of "find bid" fail
    And 6 seconds pass
    And a job of 6 tasks is submitted
    And 4 seconds pass
    Then the partition of the pool was owned anew, in another term
    And all jobs are completed, and every task was started once
    And no daemon has ended

  # Guards against reads at full speed, and against answers from a part of the
  # records.
  Scenario Outline: While a task fails again and again, the daemon is not ready
    Given 1 daemons and 2 workers
    When a job of 6 tasks is submitted
    And 0.4 seconds pass
    And the next 1000 calls of "<call>" fail
    And 10 seconds pass
    Then the daemon is not ready and does not say that there is no such job
    And 5 to 9 lines say that the task "<task>" failed
    When all calls succeed again
    And 8 seconds pass
    Then the daemon is ready
    And all jobs are completed, and every task was started once
    And no daemon has ended

    Examples:
      | task        | call              |
      | fleet state | index fleet state |
      | partition   | index jobs        |

  # Guards against QUOTA: what a tenant may occupy is known in part only.
  Scenario Outline: The caps of tenants hold after an error in their feed
    Given 3 daemons with the pools "pool a b" and a tenant with a cap of 3000
    When tasks last 2 seconds
    And 12 tasks of the tenant are handed in to pool "a"
    And 1 seconds of the pools pass
    And the next <times> calls of "index caps" fail
    And 12 tasks of the tenant are handed in to pool "b"
    Then within 25 seconds 24 of its tasks have started
    And <times> lines say that the task "quota" failed
    And at no time more than 6 of its tasks ran

    Examples:
      | times |
      | 1     |
      | 4     |

  # Guards against an error that nobody hears of, as it comes together with a
  # cancellation.
  Scenario: A task that fails while it is cancelled is logged, and ends
    When a task with two children fails while it is cancelled
    Then it has ended, and 1 line says so

  # Guards against records that a read of before an error returns after it.
  Scenario: A read that is under way during an error applies nothing
    Given a partition with a job
    When a read is under way while another one's records can't be indexed
    Then it has failed, and the partition counts as not read
    When the partition is started again and read
    Then the job is known

  # Guards against a stop that outlasts the grace period because the store is slow.
  Scenario: Partitions that can't be released don't make a stop longer
    Given 2 daemons and 2 workers
    When nobody answers a member that leaves a group
    And the owner of the pool stops
    Then the stop took 4.5 seconds
