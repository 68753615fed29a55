Feature: Daemons that share one store

  Scenario: A job accepted by one daemon is completed, whoever owns its pool
    Given 2 daemons and 2 workers
    When a job of 6 tasks is submitted to each daemon
    And 5 seconds pass
    Then both daemons report both jobs as completed
    And every task was started once

  Scenario: A killed daemon is replaced, and its tasks keep running
    Given 2 daemons and 2 workers
    When a job of 6 tasks is submitted to each daemon
    And 0.4 seconds pass
    And the owner of the pool is killed
    And 8 seconds pass
    Then the remaining daemon reports both jobs as completed
    And every task was started once

  # Guards against starts by a new owner that go by an old directory: the worker
  # has shrunk, or is leaving, since the daemon last read it.
  Scenario Outline: A new owner reads the directory before it starts tasks
    Given 3 daemons and 1 workers
    When <wait> seconds pass
    And the directory takes <seconds> seconds to read
    And worker "w0" shrinks to 1000 millicores
    And the owner of the pool is killed
    And a job of 6 tasks is submitted
    And 12 seconds pass
    Then no worker has run more than 2 tasks at a time
    And the job is completed

    Examples:
      | seconds | wait |
      | 0.1     | 0    |
      | 0.1     | 2    |
      | 0.1     | 3    |
      | 0.3     | 2    |
      | 0.3     | 3    |

  # A pool is not to stand still when only the directory can't be read.
  Scenario: A new owner that can't read the directory starts tasks after a while
    Given 3 daemons and 1 workers
    When 2 seconds pass
    And the directory takes 60 seconds to read
    And the owner of the pool is killed
    And a job of 6 tasks is submitted
    And 6 seconds pass
    Then the job is completed

  Scenario: A stopping daemon releases its partitions at once
    Given 2 daemons and 2 workers
    When the owner of the pool is asked to stop
    And 1 seconds pass
    And a job of 6 tasks is submitted to the other daemon
    And 3 seconds pass
    Then the remaining daemon reports its job as completed

  # Guards against tasks of a lost worker that wait anew after each change of
  # the owner.
  Scenario: The next owner waits only for the rest of a silent worker's leases
    Given 2 daemons and 2 workers
    When a job of 6 tasks is submitted
    And 0.4 seconds pass
    And the worker that runs them becomes unreachable
    And 3 seconds pass
    And the owner of the pool is asked to stop
    And 4 seconds pass
    Then the remaining daemon reports its job as completed
    And no lease bound is left in the store

  # Guards against tasks that wait for the leases of a worker whose VM is down.
  Scenario: Tasks of a VM that is listed as down start elsewhere at once
    Given 2 daemons and 2 workers
    When a job of 6 tasks is submitted
    And 0.4 seconds pass
    And the worker that runs them becomes unreachable
    And its VM is listed as down
    And 4 seconds pass
    Then the job is completed

  # Guards against losses in whose log lines the task that caused them can't be
  # told from the tasks that shared the worker.
  Scenario: The log names the attempts of a lost worker and how long they ran
    Given 2 daemons and 2 workers
    When a job of 6 tasks is submitted
    And 0.4 seconds pass
    And the worker that runs them becomes unreachable
    And its VM is listed as down
    And 4 seconds pass
    Then the log names the lost worker once, with its attempts and their ages

  # Pattern: tens of thousands of VMs, and a zone cut that concerns every owner.
  Scenario Outline: Listings for lost workers become rarer with the number of VMs
    Then an owner that watches <vms> VMs lists them at most <most> times in 20 s

    Examples:
      | vms   | most |
      | 30    | 40   |
      | 23000 | 1    |

  Scenario: A worker that answers again keeps its tasks
    Given 2 daemons and 2 workers
    When a job of 6 tasks is submitted
    And 0.4 seconds pass
    And the worker that runs them becomes unreachable
    And 2.6 seconds pass
    And the worker becomes reachable
    And 3 seconds pass
    Then the job is completed
    And every task was started once
    And no lease bound is left in the store

  Scenario: A request that the store rejects fails fast as not run
    Given 1 daemons and 2 workers
    When the store is in mode "refuse"
    And a job of 1 tasks is submitted
    Then the verdict is "not-run" within 0.5 seconds

  Scenario: A daemon without contact with the store rejects requests at once
    Given 1 daemons and 2 workers
    When the store is in mode "hang"
    And 3 seconds pass
    And a job of 1 tasks is submitted
    Then the verdict is "not-run" within 0.5 seconds

  Scenario: Many jobs submitted at once are accepted by a slow store
    Given 3 daemons and 2 workers
    When the store is in mode "slow"
    And 40 jobs are submitted at once
    Then all of them are accepted within 1.2 seconds

  Scenario: The timeout of appends adapts to response times
    Given an adaptive timeout of 0.8 seconds
    When 3 calls time out
    Then the timeout is 2.0 seconds
    When a response takes 0.3 seconds
    Then the timeout is 1.2 seconds
    When a response takes 0.004 seconds
    Then the timeout is 0.8 seconds

  Scenario: After a lost response the client is never told "not run"
    Given 1 daemons and 2 workers
    When the store is in mode "lose"
    And a job of 1 tasks is submitted
    Then the verdict is "may-have-run" within 2 seconds
    When the store is in mode "up"
    And 4 seconds pass
    Then the job is completed

  Scenario: An unknown job is looked up in the store
    Given 2 daemons and 2 workers
    When a job of 1 tasks is submitted to one daemon and queried at the other
    Then the other daemon knows the job
    And it does not know a job that was never submitted

  # Guards against 410 for an accepted job while another query reads its record.
  Scenario: Queries that overlap find the same jobs
    Given a daemon whose reads at the end of a partition take 0.5 s
    When two queries for a job that it has not read come 0.1 s apart
    Then both report the job as queued

  # Guards against 410 for an accepted job whose record a client that hung up
  # had caused to be read.
  Scenario: A query that is abandoned loses no records
    Given a daemon whose reads at the end of a partition take 0.5 s
    When a query for a job that it has not read is abandoned after 0.1 s
    Then a later query reports the job as queued

  # Guards against jobs that end in time and are shown as completed too late.
  Scenario: Every daemon shows the end of a job without delay
    Given 3 daemons and 2 workers
    When a job of 2 tasks is submitted
    Then all daemons show its end within 0.1 seconds of each other

  # Guards against a link that is full of the same records, read once a query.
  Scenario: Queries that overlap share reads
    Given a daemon whose reads at the end of a partition take 0.5 s
    When 20 queries for a job that does not exist come 0.02 s apart
    Then all report that there is no such job
    And the store was read at most 3 times

  Scenario: Records that expired unread are replaced by the newest records
    Given 1 daemons and 2 workers
    When the records of the pool expire
    And a job of 2 tasks is submitted
    And 3 seconds pass
    Then the job is completed

  Scenario: A term is the generation in which a partition was first assigned
    Given a member that is assigned partitions "1 2" in generation 5
    When it is assigned partitions "2 3" in generation 8
    Then it owns partition 2 in term 5 and partition 3 in term 8
    When a later owner ends the term of partition 2
    And it is assigned partitions "2 3" in generation 9
    Then it owns partition 2 in term 9 and partition 3 in term 8

  Scenario: A term that has ended is never resumed
    Given a member that is assigned partitions "1 2" in generation 5
    When a later owner ends the term of partition 2
    And it is assigned partitions "1 2" in generation 5
    Then it owns only partition 1 and must rejoin the group
    When it is assigned partitions "1 2" in generation 7
    Then it owns partition 1 in term 5 and partition 2 in term 7

  Scenario: The expiry of leases allows for a slow clock of the worker
    Given a worker that replied at 10 s with its clock at 5000 ms
    When a lease of 4 s is granted at 11 s
    Then the lease expires at 10000 ms on the worker's clock
    And it has expired by 15.105 s

  Scenario: A configuration is applied although the connection is dead
    Given 1 daemons and 2 workers
    When the connection of the pending read of the operators' topic dies
    And the operators publish version 2
    And 1.9 seconds pass
    Then version 2 is applied

  Scenario: An owner may end on its own while another one is being stopped
    Given 1 daemons and 2 workers
    When two owners end at the same time while all are being stopped
    Then the daemon keeps running

  Scenario: An outage of a dependency is logged in two lines, not two hundred
    Given 1 daemons and 2 workers
    When the store is in mode "refuse"
    And 5 seconds pass
    And the store is in mode "up"
    And 2 seconds pass
    Then the log reports once that "group of owners" is unavailable and once that it recovered

  # Overload, silent workers and stuck tasks could not be told apart.
  Scenario: An owner logs the state of its partition once a second
    Given 1 daemons and 2 workers
    When a job of 2 tasks is submitted
    And 5 seconds pass
    Then the log has 4 to 8 lines on the state of the partition
    And each of them counts 2 workers and 0 silent ones

  # Guards against jobs that one daemon never sees: what a refresh had read was
  # dropped when a later read of the same refresh failed or was cancelled.
  Scenario Outline: A refresh that is broken off loses no records
    Given a feed of the pool's partition that has read a job
    When two jobs are stored and the second read of a refresh <fault>
    Then the feed knows all three jobs after the next refresh

    Examples: faults
      | fault        |
      | fails        |
      | is cancelled |

  # Guards against a partition whose owner, and each next one, retries for ever
  # an append that the store refuses as too large.
  Scenario: A decision on more jobs than one append can hold is stored
    Given an owner of 100 jobs of 1000 tasks and a store that takes 2 MB a call
    When the owner stores a decision on all of them
    Then it is stored within 5 s
    And a new reader of the partition finds all jobs as they were decided
