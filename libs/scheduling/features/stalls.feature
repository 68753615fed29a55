Feature: Attempts that make no progress

  # Guards against whole percents that take longer than the stall timeout.
  Scenario Outline: A long sound task runs to its end, declared as <declared> s
    Given a pool of workers "w1 w2" that report whole percents
    And the job "long" of 3 tasks that take 300 s, declared as <declared> s
    When 310 s go by in the pool
    Then the job "long" is done in the pool
    And each task of "long" was started once
    And no worker of the pool was put on probation

    Examples:
      | declared |
      | 300      |
      | 30       |

  # Guards against stops without end of a task whose duration is not known.
  Scenario Outline: A sound task that takes far longer than declared ends, <seconds> s for <declared> s
    Given a pool of workers "w1 w2" that report whole percents
    And the job "long" of 1 tasks that take <seconds> s, declared as <declared> s
    When <limit> s go by in the pool
    Then the job "long" is done in the pool
    And no task of "long" was started more than <starts> times

    Examples:
      | seconds | declared | starts | limit |
      | 300     | 0        | 2      | 310   |
      | 400     | 1        | 2      | 410   |
      | 2000    | 0        | 4      | 2030  |

  # Guards against the loss of fractions of a percent.
  Scenario: Fractions of a percent are progress
    Given a pool of workers "w1 w2" that report fractions of a percent
    And the job "long" of 3 tasks that take 2000 s, declared as 0 s
    When 60 s go by in the pool
    Then each task of "long" was started once
    And no worker of the pool was put on probation

  # Guards against the loss of a checkpoint that has just been saved.
  Scenario: New checkpoints are progress
    Given a pool of workers "w1 w2" that report whole percents
    And the job "long" of 3 tasks that take 2000 s and save checkpoints, declared as 0 s
    When 60 s go by in the pool
    Then each task of "long" was started once
    And no worker of the pool was put on probation

  # Guards against a verdict that needs other attempts to compare with.
  Scenario: A long sound task that is alone in its pool runs to its end
    Given a pool of workers "w1" that report whole percents
    And the job "long" of 1 tasks that take 300 s, declared as 30 s
    When 310 s go by in the pool
    Then the job "long" is done in the pool
    And each task of "long" was started once
    And no worker of the pool was put on probation

  # Guards against tasks that are stopped for ever where there is one worker.
  Scenario: A sound task of unknown duration ends on the only worker
    Given a pool of workers "w1" that report whole percents
    And the job "long" of 1 tasks that take 2000 s, declared as 0 s
    When 2060 s go by in the pool
    Then the job "long" is done in the pool
    And no task of "long" was started more than 4 times

  # Guards against an owner that knows less than the one before.
  Scenario: A long sound task runs to its end under two owners
    Given a pool of workers "w1 w2" that report whole percents
    And the job "long" of 3 tasks that take 300 s, declared as 30 s
    When 151 s go by in the pool
    And another owner takes the pool over
    And 160 s go by in the pool
    Then the job "long" is done in the pool
    And each task of "long" was started once
    And no worker of the pool was put on probation

  # Guards against a count of stops that ends with the term of an owner.
  Scenario: A task of unknown duration ends though owners change
    Given a pool of workers "w1 w2" that report whole percents
    And the job "long" of 1 tasks that take 2000 s, declared as 0 s
    When another owner takes the pool over every 30 s, 5 times
    And 2000 s go by in the pool
    Then the job "long" is done in the pool
    And no task of "long" was started more than 5 times

  # Guards against the time that an owner did not look as time without progress.
  Scenario: Sound tasks are not stopped after a pause of their owner
    Given a pool of workers "w1 w2" that report whole percents
    And the job "short" of 6 tasks that take 12 s, declared as 12 s
    When 2 s go by in the pool
    And the owner of the pool is paused for 4 s
    And 8 s go by in the pool
    Then the job "short" is done in the pool
    And each task of "short" was started once
    And no worker of the pool was put on probation

  # Guards against the age of a report as time without progress.
  Scenario: A sound task is not stopped after a report that arrives late
    Given a pool of workers "w1" that report whole percents
    And the job "long" of 1 tasks that take 100 s, declared as 10 s
    And 1.4 s go by in the pool
    When the next report of "w1" takes 3.7 s to arrive
    And 100 s go by in the pool
    Then the job "long" is done in the pool
    And each task of "long" was started once

  # Guards against each task of a step being stopped until its own pace is known.
  Scenario: A task of unknown duration may take as long as others of its step
    Given a pool of workers "w1" that report whole percents
    And the job "long" of 6 tasks that take 400 s, declared as 0 s
    When 900 s go by in the pool
    Then the job "long" is done in the pool
    And the last 2 tasks of "long" were started once

  # Guards against a slow worker that is taken for one that stands still.
  Scenario: Long tasks on a slow worker go on
    Given a pool of workers "w1 w2" that report whole percents
    And the tasks on "w1" work at 0.2 of their speed
    And the job "long" of 4 tasks that take 100 s, declared as 100 s
    When 520 s go by in the pool
    Then the job "long" is done in the pool
    And each task of "long" was started once
    And no worker of the pool was put on probation

  # Guards against the resumption of a task as time without progress.
  Scenario: A task that resumes slowly is not stopped again
    Given a pool of workers "w1 w2" that take 7 s to resume a task
    And the job "saved" of 1 tasks that take 12 s and save checkpoints, declared as 12 s
    And 6 s go by in the pool
    And the tasks on "w1" work at 0 of their speed
    And the tasks on "w2" work at 0 of their speed
    When 3 s go by in the pool
    And the tasks on "w1" work at 1 of their speed
    And the tasks on "w2" work at 1 of their speed
    And 18 s go by in the pool
    Then the job "saved" is done in the pool
    And no task of "saved" was started more than 2 times

  Scenario: A worker whose tasks stand still is found
    Given a pool of workers "w1 w2 w3" that report whole percents
    And the tasks on "w1" work at 0 of their speed
    And the job "short" of 10 tasks that take 5 s, declared as 5 s
    When 4.5 s go by in the pool
    Then no task of "short" runs on "w1"
    When 15 s go by in the pool
    Then the job "short" is done in the pool
    And only the workers "w1" were put on probation
    And no task of "short" was started more than 3 times

  Scenario: A worker whose tasks stand still under a new owner is found
    Given a pool of workers "w1 w2 w3" that report whole percents
    And the tasks on "w1" work at 0 of their speed
    And the job "short" of 10 tasks that take 5 s, declared as 5 s
    When 2 s go by in the pool
    And another owner takes the pool over
    And 4.5 s go by in the pool
    Then no task of "short" runs on "w1"
    When 15 s go by in the pool
    Then the job "short" is done in the pool
    And only the workers "w1" were put on probation

  # Guards against long tasks that stay on a worker that others have left.
  Scenario: Long tasks leave a worker on which short ones have stood still
    Given a pool of workers "w1 w2 w3" that report whole percents
    And the job "long" of 2 tasks that take 100 s, declared as 100 s
    And the job "short" of 5 tasks that take 10 s, declared as 10 s
    When 4 s go by in the pool
    Then tasks of "long" run on "w2"
    When the tasks on "w2" work at 0 of their speed
    And 6 s go by in the pool
    Then no task of "long" runs on "w2"
    When 140 s go by in the pool
    Then the job "long" is done in the pool
    And the job "short" is done in the pool
    And only the workers "w2" were put on probation

  Scenario: Long tasks leave a worker on which they stand still
    Given a pool of workers "w1 w2" that report whole percents
    And the job "long" of 3 tasks that take 80 s, declared as 80 s
    And 4 s go by in the pool
    And the tasks on "w1" work at 0 of their speed
    When 12 s go by in the pool
    Then no task of "long" runs on "w1"
    When 90 s go by in the pool
    Then the job "long" is done in the pool

  # Guards against stops without end of a task that makes no progress anywhere.
  Scenario: Tasks that make no progress anywhere disturb few workers
    Given a pool of workers "w1 w2 w3 w4" that report whole percents
    And the job "stuck" of 5 tasks that never make progress, declared as 5 s
    And the job "short" of 8 tasks that take 10 s, declared as 10 s
    When 160 s go by in the pool
    Then the job "short" is done in the pool
    And each task of "short" was started once
    And no task of "stuck" was started more than 6 times
    And at most 1 workers were put on probation

  # Guards against sound workers that are on probation one after the other.
  Scenario: A task that makes no progress anywhere is not its workers' fault
    Given a pool of workers "w1 w2 w3 w4" that report whole percents
    And the job "busy" of 4 tasks that take 100 s, declared as 100 s
    And 1 s go by in the pool
    And the job "stuck" of 1 tasks that never make progress, declared as 1 s
    When 30 s go by in the pool
    Then at most 1 workers were put on probation
    And no worker of the pool is on probation

  # Guards against a verdict on a worker without any to compare it with.
  Scenario: A task that makes no progress in an idle pool is no evidence
    Given a pool of workers "w1 w2" that report whole percents
    And the job "stuck" of 1 tasks that never make progress, declared as 1 s
    When 30 s go by in the pool
    Then no worker of the pool was put on probation

  # Guards against two bad workers that clear each other.
  Scenario Outline: Two workers whose tasks stand still are found, <case>
    Given a pool of workers "w1 w2 w3" that report whole percents
    And the tasks on "w1" work at 0 of their speed
    And the tasks on "w2" work at 0 of their speed
    And the job "first" of <count> tasks that take 2 s, declared as 2 s
    When 25 s go by in the pool
    Then the job "first" is done in the pool
    And only the workers "w1 w2" were put on probation

    Examples:
      | case        | count |
      | one task    | 1     |
      | many tasks  | 14    |

  # Guards against readiness that is taken for progress at a steady pace.
  Scenario: A permanent task that takes long to be ready comes up
    Given a pool of workers "w1 w2" that report whole percents
    And the job "lasting" of 1 tasks that take 600 s and last, declared as 0 s
    When 700 s go by in the pool
    Then no task of "lasting" was started more than 3 times

  # Guards against a permanent task that stays away for longer each time.
  Scenario: A permanent task that has served is soon replaced when it hangs
    Given a pool of workers "w1 w2" that report whole percents
    And the tasks on "w1" work at 0 of their speed
    And the tasks on "w2" work at 0 of their speed
    And the job "lasting" of 1 tasks that take 2 s and last, declared as 0 s
    And 9.5 s go by in the pool
    And the tasks on "w1" work at 1 of their speed
    And the tasks on "w2" work at 1 of their speed
    And 60 s go by in the pool
    Then each task of "lasting" was started 3 times
    When the tasks on "w1" are ready by 0.5 at most
    And the tasks on "w2" are ready by 0.5 at most
    And 5 s go by in the pool
    Then each task of "lasting" was started 4 times

  # Guards against a worker that is taken for bad as it is full.
  Scenario Outline: A scavenging task without CPU time for <seconds> s is no evidence against its worker
    Given a pool of workers "w1" that report whole percents
    And the job "scavenger" of 1 tasks that take 5 s and scavenge, declared as 5 s
    And the job "short" of 4 tasks that take <seconds> s, declared as 30 s
    When 45 s go by in the pool
    Then the job "short" is done in the pool
    And the job "scavenger" is done in the pool
    And each task of "scavenger" was started once
    And each task of "short" was started once
    And no worker of the pool was put on probation

    Examples:
      | seconds |
      | 30.0    |
      | 30.5    |
      | 31.0    |
      | 31.5    |
      | 32.0    |

  # Guards against a pool that takes nothing, as its workers were taken for bad
  # on the evidence of tasks that take far longer than declared.
  Scenario: Workers are cleared once their tasks turn out to be long
    Given a pool of workers "w1 w2 w3" that report whole percents
    And the job "long 1" of 1 tasks that take 400 s, declared as 1 s
    And the job "long 2" of 1 tasks that take 400 s, declared as 1 s
    And the job "long 3" of 1 tasks that take 400 s, declared as 1 s
    And the job "long 4" of 1 tasks that take 400 s, declared as 1 s
    And the job "long 5" of 1 tasks that take 400 s, declared as 1 s
    And the job "short" of 4 tasks that take 30 s, declared as 30 s
    When 14 s go by in the pool
    Then no worker of the pool is on probation
    And no task of "long 1" was started more than 2 times
    And no task of "long 5" was started more than 2 times
    And each task of "short" was started once

  # Guards against a worker that stops task after task, as nothing is left to
  # compare with.
  Scenario Outline: A worker on which single tasks stand still is found, <case>
    Given a pool of workers "w1 w2" that report whole percents
    And the tasks on "w1" work at 0 of their speed
    And the job "first" of 1 tasks that take 1 s, declared as <declared> s
    When 6 s go by in the pool
    Then the job "first" is done in the pool
    And only the workers "w1" were put on probation

    Examples:
      | case       | declared |
      | declared   | 1        |
      | undeclared | 0        |
