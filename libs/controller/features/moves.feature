Feature: Jobs of queues that move to other pools

  # Guards against a job that runs twice: it was submitted again, at a daemon that
  # had not read it, after its queue had got another pool.
  Scenario Outline: A job that is submitted again while its queue moves is one job
    Given 4 daemons and the pools "pool b", of which the queue has "pool"
    When a job is submitted at daemon 0
    And the queue moves to "<pools>" at once
    And the job is submitted again at all daemons
    Then each job has run once
    And each daemon shows each job as completed

    Examples:
      | pools    |
      | b        |
      | b pool   |
      | b pool b |

  # Guards against the same where one daemon does not know of the move yet.
  Scenario Outline: A job is one job at a daemon that does not know of the move
    Given 4 daemons and the pools "pool b", of which the queue has "pool"
    And daemon 3 reads no configuration for 4 seconds
    When the queue moves to "<pools>" at once
    And a job is submitted at daemon <first>
    And <seconds> seconds pass
    And the job is submitted again at daemon <second>
    Then each job has run once
    And each daemon shows each job as completed

    Examples:
      | pools  | first | second | seconds |
      | b      | 0     | 3      | 0.1     |
      | b      | 3     | 0      | 0.1     |
      | b      | 3     | 0      | 0       |
      | b      | 0     | 3      | 3       |
      | b pool | 0     | 3      | 0.1     |
      | b pool | 3     | 0      | 0.1     |

  # Guards against an answer that there is no such job, at a daemon that has not
  # read it and asks only the partition of the new pool, or of the former one.
  Scenario Outline: A job is found at every daemon while its queue moves
    Given 4 daemons and the pools "pool b", of which the queue has "pool"
    And daemon 3 reads no configuration for 4 seconds
    When a job is submitted at daemon <first>
    And the queue moves to "<pools>" at once
    And a job is submitted at daemon <first>
    And a job is submitted at daemon 3
    Then no daemon says that there is no such job
    And a cancellation at daemon <second> is accepted, and its job never completes

    Examples:
      | pools  | first | second |
      | b      | 0     | 1      |
      | b      | 0     | 3      |
      | b pool | 0     | 1      |
      | b pool | 0     | 3      |

  # Guards against a daemon that has just started and says that there is no such
  # job, as it has not read the partition of the former pool.
  Scenario: A daemon that has just started finds the jobs of a queue that moved
    Given 3 daemons and the pools "pool b", of which the queue has "pool"
    When a job is submitted at daemon 0
    And the queue moves to "b" at once
    And daemon 2 is killed and starts again
    Then no daemon says that there is no such job
    When the job is submitted again at all daemons
    Then each job has run once

  # Guards against a daemon that starts during a move and accepts a job again, as
  # it knows only the present configuration.
  Scenario: A daemon that starts during a move knows the former pool
    Given 4 daemons and the pools "pool b", of which the queue has "pool"
    And daemon 3 reads no configuration for 6 seconds
    When the queue moves to "b" at once
    And daemons 0, 1 and 2 are killed and start again
    And 2 seconds pass
    And a job is submitted at daemon 3
    And the job is submitted again at daemon 0
    Then each job has run once

  # Guards against a daemon that has just started and accepts a job again, as it has
  # not read the partition of the former pool yet.
  Scenario: A daemon reads a former partition first that it has never read
    Given a daemon that has read no partition, and a queue that moves to "b"
    When a job that lies in the former partition is submitted again
    Then it is accepted, and nothing is stored in the new partition

  # Guards against a count that leaves out what waits in the former pool.
  Scenario: Jobs that wait in the former pool are counted as pending
    Given 3 daemons and the pools "pool b", of which the queue has "pool"
    And no worker has room
    When a job is submitted at daemon 0
    And the queue moves to "b" at once
    And a job is submitted at daemon 0
    And 2 seconds pass
    Then each daemon counts 2 pending jobs of the queue

  # Guards against calls to the store that each request of a moved queue makes.
  Scenario: A queue that has moved costs a few calls, one that has not costs no more
    Given 2 daemons and the pools "pool b", of which the queue has "pool"
    Then 5 jobs at daemon 0 take 5 appends and 5 reads of the store
    When the queue moves to "b" at once
    Then 5 jobs at daemon 0 take 7 appends and 6 reads of the store
    And 5 jobs at daemon 0 take 5 appends and 5 reads of the store

  # Guards against a refusal of a job that the daemon knows, as its queue has moved
  # and the store does not answer.
  Scenario: A job that is known is accepted again although the store is down
    Given 2 daemons and the pools "pool b", of which the queue has "pool"
    When a job is submitted at daemon 0
    And the queue moves to "b" at once
    And the store is in mode "refuse"
    Then the job is accepted again at daemon 0 within 0.1 s

  # Guards against jobs that are lost or doubled while appends are slow or their
  # answers get lost.
  Scenario Outline: A job is one job while its queue moves and the store is impaired
    Given 4 daemons and the pools "pool b", of which the queue has "pool"
    And daemon 3 reads no configuration for 4 seconds
    When a job is submitted at daemon 0
    And the store is in mode "<mode>"
    And the queue moves to "b" at once
    And the job is submitted again at all daemons
    And 2 seconds pass
    And the store is in mode "up"
    And the job is submitted again at all daemons
    Then each job has run once
    And each daemon shows each job as completed

    Examples:
      | mode   |
      | slow   |
      | lose   |
      | refuse |

  Scenario: Jobs run once and are found in random series of moves
    Then jobs run once and are found while queues move at random
