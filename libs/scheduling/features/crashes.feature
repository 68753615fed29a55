Feature: Tasks that crash the workers that start them

  # Guards against one task that crashes worker after worker without end.
  Scenario Outline: A task that crashes its workers is given up, <case>
    Given a fleet of 8 workers on a network that loses nothing
    And 6 jobs of 4 tasks
    And a job of 4 tasks of which the first crashes its worker after <fuse> s
    And workers that come back under <id>
    When 40 seconds pass
    Then the deadly task has crashed 2 to 3 workers
    And its job has failed, and all other jobs are completed

    Examples:
      | case                              | fuse | id       |
      | at its start                      | 0    | a new id |
      | at its start, by a worker's id    | 0    | their id |
      | after a while                     | 0.7  | a new id |
      | after a while, by a worker's id   | 0.7  | their id |

  # Guards against a count of crashes that ends with the term of an owner.
  Scenario Outline: The crashes of a task are counted although the owner <changes>
    Given a fleet of 8 workers on a network that loses nothing
    And 6 jobs of 4 tasks
    And a job of 4 tasks of which the first crashes its worker after <fuse> s
    And workers that come back under <id>
    When the owner <changes> after each crash for 40 seconds
    Then the deadly task has crashed 2 to 3 workers
    And its job has failed, and all other jobs are completed

    Examples:
      | changes             | fuse | id       |
      | hands over          | 0    | a new id |
      | is killed           | 0    | a new id |
      | is killed           | 0.7  | a new id |
      | is killed           | 0    | their id |
      | is killed           | 0.7  | their id |
      | loses its membership | 0   | a new id |

  # Guards against crashes that are not counted, since the attempt was given up
  # before its worker was known to be over.
  Scenario Outline: Crashes are counted in a step that allows copies, <case>
    Given a fleet of 8 workers on a network that loses nothing
    And 6 jobs of 4 tasks
    And a job of 4 copied tasks of which the first crashes its worker
    And workers that come back under <id>
    When 40 seconds pass
    Then the deadly task has crashed 2 to 4 workers
    And its job has failed, and all other jobs are completed

    Examples:
      | case           | id       |
      | with new ids   | a new id |
      | with their ids | their id |

  # Guards against a loop that goes on while only leases show that a worker is
  # over: the platform's list of VMs is away for some seconds.
  Scenario: Crashes are counted once the list of VMs is back
    Given a fleet of 8 workers on a network that loses nothing
    And a job of 4 tasks of which the first crashes its worker after 0 s
    And workers that come back under a new id
    And a list of VMs that is away for 7 seconds
    When 40 seconds pass
    Then the deadly task has crashed 2 to 4 workers
    And its job has failed, and all other jobs are completed

  # Guards against tasks that are given up because they shared their worker with
  # a task that crashes it, again and again.
  Scenario: Tasks that only share a worker with a deadly one are kept
    Given a fleet of 3 workers on a network that loses nothing
    And 4 jobs of 4 tasks
    And a job of 3 permanent tasks
    And a job of 4 tasks of which the first crashes its worker after 0 s
    And workers that come back under a new id
    When 40 seconds pass
    Then the deadly task has crashed 2 to 4 workers
    And its job has failed, and all other jobs are completed

  Scenario Outline: Tasks outlive workers that crash for other reasons, <case>
    Given a fleet of 8 workers on a network that loses nothing
    And 6 jobs of 4 tasks
    And a job of 4 permanent tasks
    And workers that come back under a new id
    When <count> workers crash every <seconds> seconds for 40 seconds
    And 20 seconds pass
    Then no job has failed, and all others are completed

    Examples:
      | case             | count | seconds |
      | one by one       | 1     | 4       |
      | several together | 3     | 8       |

  Scenario: A permanent task that crashes its workers is given up, too
    Given a fleet of 8 workers on a network that loses nothing
    And 6 jobs of 4 tasks
    And a job of 3 permanent tasks
    And a job of 2 permanent tasks of which the first crashes its worker
    And workers that come back under a new id
    When 60 seconds pass
    Then the deadly task has crashed 2 to 5 workers
    And its job has failed, and all other jobs are completed

  # Guards against jobs that are given up since their workers were crashed twice
  # by other tasks, and by chance while they were alone.
  Scenario Outline: A task outlives crashes that it may not have caused, <crashes>
    Given a task with crashes "<crashes>"
    Then there is a case against it if it is "<given up>"

    Examples:
      | crashes                            | given up        |
      | shared shared                      | never           |
      | alone alone                        | never           |
      | alone alone excused excused        | never           |
      | shared shared shared shared        | never           |
      | shared shared alone                | short           |
      | alone alone alone                  | short           |
      | shared alone alone alone           | short permanent |
      | shared shared shared shared shared | never           |

  # Guards against permanent jobs that are given up for crashes by chance: the
  # first came long after their start.
  Scenario: A crash long after the start does not count for permanent tasks
    Given a fleet of 8 workers on a network that loses nothing
    And 2 jobs of 2 permanent tasks
    And workers that come back under a new id
    When the workers of the permanent tasks crash after "7 2 2" seconds
    And 10 seconds pass
    Then no job has failed, and all others are completed

  # Guards against jobs that are given up for workers that crashed before the
  # start was sent: storing the decision took seconds.
  Scenario: A worker that crashes before the start is sent does not count
    Given a fleet of 8 workers on a network that loses nothing
    And a job of 2 tasks
    And workers that come back under a new id
    When the worker of the tasks crashes while the store is down for 3 seconds
    And the worker that runs the tasks crashes
    And 20 seconds pass
    Then no job has failed, and all others are completed

  # Guards against tasks that are placed on a VM that has just been moved: its
  # drain request is withdrawn with the move, before the worker is known to end.
  Scenario: No task is placed on a drained VM that was taken away
    Given a fleet of 8 workers on a network that loses nothing
    And workers that come back under a new id
    When half of the VMs are drained, taken away as jobs arrive, 6 times
    And 10 seconds pass
    Then no job has failed, and all others are completed
    And no task was lost with its worker

  # Guards against crashes that don't count since the fleet's owner asked to drain
  # the VM before the crash was noticed.
  Scenario: A drain request after a crash does not excuse it
    Given a fleet of 8 workers on a network that loses nothing
    And a job of 4 tasks of which the first crashes its worker after 0 s
    And workers that come back under a new id
    When each worker that has crashed is asked to drain for 40 seconds
    Then the deadly task has crashed 2 to 3 workers
    And its job has failed, and all other jobs are completed

  Scenario: A worker that announced its end does not count as crashed
    Given a fleet of 8 workers on a network that loses nothing
    And a job of 4 permanent tasks
    When the workers of the permanent tasks drain and end, 5 times
    And 10 seconds pass
    Then no job has failed, and all others are completed

  # Guards against crashes that get lost among other faults, and against starts
  # over a capacity that shrinks and grows.
  Scenario: Invariants hold with a deadly task, random faults and changing capacity
    When fleets with a deadly task run with faults and changing capacity
    Then every job has ended
