Feature: Sound jobs on workers that crash by themselves

  # Guards against a job that is closed as failed though its task ran once: the
  # worker crashed, and the next one had died before the start order arrived.
  Scenario Outline: A task is kept whose next start reaches a dead worker, <id>
    Given 20 fleets with a job of one task that runs for 3 seconds
    And workers that come back under <id> in all fleets
    When its worker crashes 0.6 s after the start, and the next one before its start
    And 30 seconds pass in all fleets
    Then no job of the fleets is shown as failed, and all are completed

    Examples:
      | id       |
      | a new id |
      | their id |

  # Guards against a job that is closed as failed after two crashes under a task
  # that was alone on its workers and never ended as failed.
  Scenario: A task is kept after its workers have crashed twice by chance
    Given 20 fleets with a job of one task that runs for 3 seconds
    When its worker crashes 1 s after the start, 2 times
    And 30 seconds pass in all fleets
    Then no job of the fleets is shown as failed, and all are completed

  # Guards against sound jobs that are closed as failed in a pool whose workers
  # crash by themselves.
  Scenario Outline: Sound jobs outlive crashes of the pool's workers, <case>
    When 30 fleets run <jobs> jobs each second while <count> workers crash every <gap> s
    Then no job of the fleets is shown as failed, and all are completed

    Examples:
      | case              | jobs | count | gap |
      | three at once     | 2    | 3     | 2.5 |
      | one at a time     | 1    | 1     | 2.5 |
      | half of the pool  | 1    | 4     | 2   |

  # Guards against sound jobs that are blamed for each other's chance crashes
  # while owners change.
  Scenario: Sound jobs outlive crashes of the workers while owners change
    When 10 fleets run 1 jobs each second while 1 workers crash every 2.5 s and owners are killed
    Then no job of the fleets is shown as failed, and all are completed

  # Guards against a task that is given up because the next owner has seen no
  # worker go yet, or because a noisy time is over.
  Scenario: The quiet of a new owner does not count against a task
    Given 4 fleets with a job of one task that runs for 30 seconds
    When its worker and others crash by turns, and the owner after the third time
    And 90 seconds pass in all fleets
    Then no job of the fleets is shown as failed, and all are completed

  # Guards against a deadly task that is never given up, as each of its crashes
  # is proven only after its next placement.
  Scenario: A task whose crashes are proven late is given up
    Given 2 fleets with a job of one task that runs for 20 seconds
    When it crashes its worker after 5 s and the list of VMs is away for 6 s each time
    And 180 seconds pass in all fleets
    Then the task has crashed at most 5 workers, and its job has failed
    And each crash is noted once, with its worker, the chance and the limit
