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

  # Guards against a job that is closed as failed though nothing of it ran: each
  # time the placement was stored, the worker died before its start, and the next
  # owner took the attempt for a started one.
  Scenario: A task that was only placed, by owners that were killed, is kept
    Given 4 fleets with a job of one task that runs for 3 seconds
    When its worker dies before the start arrives and the owner is killed, 3 times
    And 90 seconds pass in all fleets
    Then no job of the fleets is shown as failed, and all are completed

  # Guards against a job that is closed as failed after three crashes that hit its
  # task by chance, in a pool that is quiet otherwise.
  Scenario: A task is kept after its workers have crashed three times by chance
    Given 4 fleets with a job of one task that runs for 30 seconds
    When its worker crashes 1 s after the start, 3 times
    And 120 seconds pass in all fleets
    Then no job of the fleets is shown as failed, and all are completed

  # Guards against a sound task that waits for longer than 3 s while there is room,
  # as its starts have reached dead workers.
  Scenario: A task runs soon after its starts have reached dead workers
    Given 4 fleets with a job of one task that runs for 3 seconds
    When its next 5 starts reach dead workers
    Then it runs within 3 seconds of the last one

  # Guards against a pool of one worker that runs nothing any more beside a deadly
  # task.
  Scenario: Sound jobs of a pool of one worker are done beside a deadly task
    Given 2 fleets of 1 worker with 3 jobs, and a deadly one that runs for 5 s
    When 300 seconds pass in all fleets
    Then all jobs but the deadly one are completed
