Feature: Workers where tasks failed

  # Guards against hopeless jobs that keep a whole pool from all other jobs: the
  # long tasks that were there before count as what a worker may try.
  Scenario Outline: Hopeless jobs do not keep other jobs from a pool with long tasks
    Given a mixed fleet of 6 workers whose tasks may fail <attempts> times
    And each worker runs a long task
    When <hopeless> hopeless jobs arrive, one every 1.5 seconds
    And 1 second passes
    And a sound job arrives
    And 4 seconds pass
    Then each job has started within 3 seconds

    Examples:
      | attempts | hopeless |
      | 3        | 2        |
      | 3        | 6        |
      | 1        | 6        |

  # Guards against a worker that counts as bad for failures of a task that fails
  # elsewhere too.
  Scenario: A task that fails on several workers puts none of them on probation
    Given a mixed fleet of 6 workers whose tasks may fail 3 times
    And each worker runs a long task
    When 2 hopeless jobs arrive, one every 1.5 seconds
    And 1.5 seconds pass
    Then no worker is on probation

  # Guards against a wide hopeless job whose tasks each fail on another worker.
  Scenario: A job whose tasks all fail puts no worker on probation
    Given a mixed fleet of 6 workers whose tasks may fail 3 times
    And each worker runs a long task
    When a hopeless job of 24 tasks arrives
    And 3 seconds pass
    Then no worker is on probation

  # Guards against a probe that runs for long and keeps its worker from others.
  Scenario: A worker on probation takes more tasks while its first one runs well
    Given a mixed fleet of 1 worker whose tasks may fail 1 times
    When 1 hopeless jobs arrive, one every 3 seconds
    And a sound job arrives that takes 60 seconds
    And 1 second passes
    And a sound job arrives
    And 4 seconds pass
    Then each job has started within 3 seconds

  # Guards against a worker that fails all tasks and uses up all attempts of
  # sound jobs, while other workers have room soon.
  Scenario Outline: Workers that fail all tasks do not exhaust sound jobs
    Given a mixed fleet of 8 workers whose tasks may fail 2 times
    And workers "<bad>" fail all tasks of the mix <when>
    When sound jobs arrive for 60 seconds with a load of <load>
    Then at most <given up> sound jobs are given up
    And the bad workers have failed at most <failed> tasks

    Examples:
      | bad   | when        | load | given up | failed |
      | w1    | at once     | 0.5  | 0        | 40     |
      | w1    | at once     | 0.9  | 0        | 40     |
      | w1    | at once     | 1.5  | 0        | 40     |
      | w1    | at the end  | 0.9  | 0        | 40     |
      | w1 w2 | at once     | 0.9  | 1        | 80     |
      | w1 w2 | at the end  | 0.9  | 0        | 80     |

  # Guards against a task whose last attempt goes to a worker that fails all
  # tasks, although another one has room soon.
  Scenario Outline: The last attempt of a task waits for a sound worker
    Given a mixed fleet of 2 workers whose tasks may fail <attempts> times
    And workers "w1" fail all tasks of the mix at once
    When a hopeless job fails on "w1" only
    And worker "w0" is full for 2.3 seconds
    And a sound job arrives
    And 6 seconds pass
    Then at most 0 sound jobs are given up

    Examples:
      | attempts |
      | 1        |
      | 2        |

  # Guards against two bad workers that excuse each other: a task that failed on
  # both succeeds on a third one.
  Scenario: A task that succeeds in the end counts against the workers where it failed
    Given a mixed fleet of 3 workers whose tasks may fail 3 times
    And workers "w0 w1" fail all tasks of the mix at once
    And worker "w2" is full for 1 seconds
    When a sound job arrives
    And 4 seconds pass
    Then workers "w0 w1" are on probation

  # Guards against bad workers that are never found, as what fails on one fails
  # on the other too.
  Scenario: Workers where the tasks of many jobs fail are on probation
    Given a mixed fleet of 2 workers whose tasks may fail 2 times
    And workers "w0 w1" fail all tasks of the mix at once
    When 4 sound jobs arrive, one every 3 seconds
    Then workers "w0 w1" are on probation

  # Guards against an owner that keeps the waiting tasks of all jobs that were
  # closed.
  Scenario: Tasks of closed jobs no longer wait for a sound worker
    Given a waiting task that has failed, beside a worker with failures and another
    When a minute passes in which its job is closed
    Then no note of the task is kept
