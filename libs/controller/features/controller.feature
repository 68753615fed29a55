Feature: Daemons that share one store

  Scenario: A job that one daemon accepts is completed, whoever owns its pool
    Given 2 daemons and 2 workers
    When a job of 6 tasks is handed to each daemon
    And 5 seconds pass
    Then both daemons say that both jobs are completed
    And every task was started once

  Scenario: A daemon that is killed is replaced, and its tasks run on
    Given 2 daemons and 2 workers
    When a job of 6 tasks is handed to each daemon
    And 0.4 seconds pass
    And the owner of the pool is killed
    And 8 seconds pass
    Then the daemon that is left says that both jobs are completed
    And every task was started once

  Scenario: A daemon that stops gives its partitions back at once
    Given 2 daemons and 2 workers
    When the owner of the pool is asked to stop
    And 1 seconds pass
    And a job of 6 tasks is handed to the other daemon
    And 3 seconds pass
    Then the daemon that is left says that its job is completed

  Scenario: A store that refuses is told to clients at once, as not run
    Given 1 daemons and 2 workers
    When the store does "refuse"
    And a job of 1 tasks is handed in
    Then the answer is "not-run" within 0.5 seconds

  Scenario: A daemon that has lost the store refuses clients at once
    Given 1 daemons and 2 workers
    When the store does "hang"
    And 3 seconds pass
    And a job of 1 tasks is handed in
    Then the answer is "not-run" within 0.5 seconds

  Scenario: A store that is slow takes what many clients hand in at once
    Given 3 daemons and 2 workers
    When the store does "slow"
    And 40 jobs are handed in at once
    Then all of them are accepted within 1.2 seconds

  Scenario: The time-out of appends follows the answers
    Given a store whose answers were waited for 0.8 seconds
    When 3 calls get no answer
    Then answers are waited for 2.0 seconds
    When an answer takes 0.3 seconds
    Then answers are waited for 1.2 seconds
    When an answer takes 0.004 seconds
    Then answers are waited for 0.8 seconds

  Scenario: After an answer was lost the client never hears "not run"
    Given 1 daemons and 2 workers
    When the store does "lose"
    And a job of 1 tasks is handed in
    Then the answer is "may-have-run" within 2 seconds
    When the store does "up"
    And 4 seconds pass
    Then the job is completed

  Scenario: A job that is not known is looked up in the store first
    Given 2 daemons and 2 workers
    When a job of 1 tasks is handed to one daemon and asked for at the other
    Then it is known there
    And a job that nobody handed in is not known

  Scenario: History that expired unread is replaced by the newest records
    Given 1 daemons and 2 workers
    When the store forgets the history of the pool
    And a job of 2 tasks is handed in
    And 3 seconds pass
    Then the job is completed

  Scenario: A term is the generation in which a partition was first held
    Given a member that is dealt partitions "1 2" in generation 5
    When it is dealt partitions "2 3" in generation 8
    Then it holds partition 2 in term 5 and partition 3 in term 8
    When a later owner ends the term of partition 2
    And it is dealt partitions "2 3" in generation 9
    Then it holds partition 2 in term 9 and partition 3 in term 8

  Scenario: A term that has ended is never held again
    Given a member that is dealt partitions "1 2" in generation 5
    When a later owner ends the term of partition 2
    And it is dealt partitions "1 2" in generation 5
    Then it holds only partition 1 and has to leave the group
    When it is dealt partitions "1 2" in generation 7
    Then it holds partition 1 in term 5 and partition 2 in term 7

  Scenario: Leases are bounded by a clock that may be slow
    Given a worker that answered at 10 s with its clock at 5000 ms
    When a lease of 4 s is granted at 11 s
    Then the lease ends at 10000 ms of the worker
    And it is over by 15.105 s

  Scenario: A configuration comes into force although the connection went silent
    Given 1 daemons and 2 workers
    When the read of the operators' topic that is under way goes silent
    And the operators publish version 2
    And 1.9 seconds pass
    Then version 2 is in force

  Scenario: An owner may end by itself while another one is being ended
    Given 1 daemons and 2 workers
    When two owners end at the same time and all are to be ended
    Then the daemon goes on

  Scenario: A dependency that is away fills two lines, not two hundred
    Given 1 daemons and 2 workers
    When the store does "refuse"
    And 5 seconds pass
    And the store does "up"
    And 2 seconds pass
    Then the log says once that "group of owners" was lost and once that it is back
