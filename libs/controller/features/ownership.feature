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
    And 0.02 seconds pass
    And a job of pool "pool-0" is submitted
    Then the verdict is "not-run" within 0.1 seconds
    When 2 seconds pass
    And a job of pool "pool-0" is submitted
    Then the job was accepted

  Scenario: Partitions are owned by the daemons with most capacity left
    Given daemons with "0.5 0.5 0.5 2 2 0.5" cores and 2 workers
    When the operators publish version 2 with the pools "pool-0 pool-1"
    And 3 seconds pass
    Then 4 partitions are owned, 2 by each daemon with 2 cores

  Scenario: A killed owner is replaced soon by the strongest idle daemon
    Given daemons with "2 0.5 0.5 1 0.5" cores and 2 workers
    When a job of 6 tasks is submitted
    And the owner of the pool is killed
    And 2.7 seconds pass
    Then every partition is owned by the daemon with 1 cores or one that owns nothing else
    When 3 seconds pass
    Then the job is completed
    And every task was started once

  # Guards against one unexpected error that takes a whole process down.
  Scenario: An unexpected error ends a term, not the daemon
    Given 2 daemons and 2 workers
    When a job of 6 tasks is submitted
    And a scheduling round raises an unexpected error
    And 5 seconds pass
    Then 2 partitions are owned
    And both daemons still run
    And the job is completed
    And every task was started once

  Scenario: A partition that its owner releases is owned again at once
    Given daemons with "2 1 1" cores and 2 workers
    When the owner of the pool is asked to stop
    And 0.9 seconds pass
    Then 2 partitions are owned

  Scenario: An owner whose renewals fail is replaced, in a later term
    Given daemons with "2 1 1" cores and 2 workers
    When a job of 6 tasks is submitted
    And the renewals of the owner of the pool fail for 4 seconds
    And 3 seconds pass
    Then 2 partitions are owned
    And another daemon owns the pool, in a later term
    And the job is completed
    And every task was started once

  Scenario: Owners keep their partitions through an outage of the store
    Given daemons with "2 1 1" cores and 2 workers
    When the store is in mode "refuse" for 4 seconds
    And 3 seconds pass
    Then no partition has changed hands

  Scenario: Of two daemons that join a group at once only one stays
    Given 1 daemons and 2 workers
    When another daemon joins the groups of all partitions
    And 3 seconds pass
    Then the other daemon has left all groups
    And every partition has the same owner

  Scenario: A claim that others compete for begins one term, not several
    Given 1 daemons and 2 workers
    When a group is joined and left by others while a daemon claims it
    Then the daemon owns it in the last generation

  Scenario: A member that is gone, but listed until its TTL, costs no owner
    Given 1 daemons and 2 workers
    When another daemon joins the groups of all partitions and dies
    And 4 seconds pass
    Then every partition has the same owner

  Scenario: Daemons that own nothing don't ask who owns what
    Given daemons with "2 1 1 1 1 1 1 1 1 1" cores and 2 workers
    When the calls of 10 seconds are counted
    Then there were at most 60 joins and 0 listings of owners

  Scenario: An overloaded owner hands a pool over to a stronger idle daemon
    Given daemons with "0.5 0.5" cores and 2 workers
    When a job of 6 tasks is submitted
    And 20 seconds pass
    And a daemon with 2 cores starts
    And 2 seconds pass
    Then the new daemon owns nothing
    When the owner of the pool is overloaded
    And 5.5 seconds pass
    Then the new daemon owns the pool
    And 2 partitions are owned
    And every task was started once
    When the new daemon is overloaded, and the former owner is not
    And 15 seconds pass
    Then the new daemon owns the pool

  Scenario: An overloaded owner keeps its pool while no idle daemon is stronger
    Given daemons with "1 1 1" cores and 2 workers
    When 20 seconds pass
    And the owner of the pool is overloaded
    And 10 seconds pass
    Then no partition has changed hands

  Scenario: A new owner keeps its pool for a while although it is overloaded
    Given daemons with "0.5 0.5" cores and 2 workers
    When a daemon with 2 cores starts
    And the owner of the pool is overloaded
    And 10 seconds pass
    Then no partition has changed hands

  Scenario: A successor that is gone delays the takeover, but does not stop it
    Given daemons with "0.5 0.5 0.5" cores and 2 workers
    When 20 seconds pass
    And a daemon with 2 cores starts
    And 1 seconds pass
    And the owner of the pool is overloaded
    And the new daemon is killed once it has offered
    And 6 seconds pass
    Then 2 partitions are owned

  # An owner that had been cut off resumed its term after another's had passed.
  Scenario: A term that another owner has followed is not resumed
    Given a daemon that owns a partition
    When its membership expires, and another owner comes and goes meanwhile
    Then it owns the partition in a later term than the other

  # Guards against weak daemons that own the pools after a loss of all daemons,
  # since they are ready later and so look first when the groups are vacant.
  Scenario Outline: After a loss of all daemons the strong ones own the pools
    Given daemons with "0.5 0.5 0.5 0.5 0.5 0.5 2 2" cores and 2 workers
    When the operators publish version 2 with the pools "pool-0 pool-1"
    And 3 seconds pass
    And all daemons are killed
    And those with 2 cores start after <strong> s, the others after <weak> s
    And <seconds> seconds pass
    Then 4 partitions are owned
    And all are owned by daemons with 2 cores

    Examples:
      | strong | weak | seconds |
      | 0.1    | 0.6  | 2.5     |
      | 0.3    | 1.1  | 2.3     |
      | 0.3    | 1.5  | 2.3     |
      | 1.0    | 1.5  | 1.6     |
      | 3      | 3    | 1.2     |

  # Guards against pools without an owner while only weak daemons are there.
  Scenario: After a loss of all daemons weak ones own the pools if need be
    Given daemons with "2 2 0.5 0.5 0.5 0.5" cores and 2 workers
    When the operators publish version 2 with the pools "pool-0 pool-1"
    And 3 seconds pass
    And all daemons are killed
    And those with 2 cores start after 9 s, the others after 1 s
    And 3 seconds pass
    Then 4 partitions are owned
    When the owners are noted
    And 10 seconds pass
    Then no partition has changed hands

  # Guards against weak daemons that claim first since their reads no longer
  # keep them from it, and against owners that know no jobs.
  Scenario Outline: Over narrow links too the strong ones own the pools
    Given daemons with "0.5 0.5 0.5 0.5 0.5 0.5 2 2" cores behind links of 1 MB a second, 10 with 2 cores, and <size> MB in each partition
    When the operators publish version 2 with the pools "pool-0 pool-1"
    And 20 seconds pass
    And all daemons are killed
    And those with 2 cores start after 0.3 s, the others after <weak> s
    And 3 seconds pass
    Then 4 partitions are owned
    And all are owned by daemons with 2 cores
    And all owners have read their partitions

    Examples:
      | size | weak |
      | 0.5  | 1.1  |
      | 2    | 0.8  |
      | 2    | 1.1  |
