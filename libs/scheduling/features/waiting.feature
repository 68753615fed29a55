Feature: Steps that wait are listed with the reason

  # Guards against ready steps that nobody starts and no line explains.
  Scenario: A step waits for room
    Given workers "w0" with 1000 millicores
    And a job with steps "1x1000"
    When a scheduling round runs
    And a job with steps "1x1000" arrives
    And a scheduling round runs
    Then after 3 seconds job 1 is listed as waiting, with "no room"
    And "no room" keeps it from 1 worker

  # Guards against an empty pool, or one that is out of reach, shown as a full one.
  Scenario: A step waits for a worker that can be used
    Given workers "w0" with 1000 millicores
    And a job with steps "1x1000"
    When the worker "w0" becomes silent
    And a scheduling round runs
    Then after 3 seconds job 0 is listed as waiting, with "no usable worker"

  # Guards against reservations that never end and look like a lack of room.
  Scenario: A step waits beside workers that are reserved for a permanent one
    Given workers "w0" with 1000 millicores
    And a job with steps "1x400"
    When a scheduling round runs
    And a job with steps "1x1000 permanent" arrives
    And a job with steps "1x300" arrives
    And a scheduling round runs
    Then after 3 seconds job 2 is listed as waiting, with "workers are reserved"

  # Guards against a silent policy service that looks like a lack of room.
  Scenario: A step waits for a ticket
    Given workers "w0" with 1000 millicores, whose tasks need tickets
    And a job with steps "1x1000"
    When a scheduling round runs
    Then after 3 seconds job 0 is listed as waiting, with "no ticket of the policy service"

  # Guards against a cap that keeps jobs waiting and is not named in the log.
  Scenario: A step waits behind the cap of its tenant
    Given workers "w0" with 1000 millicores and a tenant at its cap
    And a job with steps "1x100"
    When a scheduling round runs
    Then after 3 seconds job 0 is listed as waiting, with "cap of the tenant"

  # Guards against suspects that keep workers free of others without a line.
  Scenario: A step waits beside a suspect that must be alone
    Given workers "w0" with 1000 millicores
    And a job with steps "1x100"
    When all its tasks are suspected of crashing workers
    And a scheduling round runs
    And a job with steps "1x100" arrives
    And a scheduling round runs
    Then after 3 seconds job 1 is listed as waiting, with "suspected of crashing workers"

  # Guards against workers that answer polls and start nothing.
  Scenario: Steps wait while workers and tasks back off after refused starts
    Given workers "w0" with 1000 millicores
    And a job with steps "1x100"
    When a scheduling round runs
    And the workers refuse the starts
    And a job with steps "1x100" arrives
    And a scheduling round runs
    Then after 3 seconds job 1 is listed as waiting, with "workers back off after refused starts"
    And after 3 seconds job 0 is listed as waiting, with "the task backs off"

  # Guards against workers with failures whose backoff nobody sees.
  Scenario: A step waits for a worker on probation
    Given workers "w0" with 1000 millicores
    And a job with steps "1x100"
    When a scheduling round runs
    And all running tasks end "failed"
    And a job with steps "1x100" arrives
    And a scheduling round runs
    Then after 3 seconds job 1 is listed as waiting, with "workers are on probation"

  Scenario: A step waits for a worker with fewer of its tasks
    Given workers "w0" with 1000 millicores
    And a job with steps "2x100 at most 1"
    When a scheduling round runs
    Then after 3 seconds job 0 is listed as waiting, with "label or limit per worker"

  # Guards against tasks that are attached to a worker which no longer answers.
  Scenario: A step waits for the end of a former attempt
    Given workers "w0" with 1000 millicores
    And a job with steps "1x100"
    When a scheduling round runs
    And all its tasks are being stopped
    Then after 3 seconds job 0 is listed as waiting, with "a former attempt may still run"

  # Guards against an owner that places more than it can start.
  Scenario: Steps wait for the start window and for answers of workers
    Given an owner that sends 0 starts a second to 10 workers
    And 2 patient jobs with steps "64x100"
    When 1 seconds of starts go by
    Then after 3 seconds job 0 is listed as waiting, with "start order not answered"
    And after 3 seconds job 1 is listed as waiting, with "start window full"

  Scenario: A step waits for a configuration that lists its queue
    Given workers "w0" with 1000 millicores
    And a job with steps "1x100"
    And the configuration lists other queues only
    When a scheduling round runs
    Then after 3 seconds job 0 is listed as waiting, with "queue not known yet"

  # Guards against an owner that places nothing and blames the room on its workers.
  Scenario Outline: A step waits while its owner places nothing
    Given workers "w0" with 1000 millicores
    And a job with steps "1x1000"
    When a scheduling round runs
    And a job with steps "1x1000" arrives
    And a scheduling round runs
    And the owner places nothing, as "<reason>"
    Then after 3 seconds job 1 is listed as waiting, with "<reason>"

    Examples:
      | reason                           |
      | decision still being stored      |
      | directory of workers not read yet |

  # Guards against waits that nobody can tell the end of.
  Scenario: A step is listed again when the reason changes, and once it starts
    Given workers "w0" with 1000 millicores
    And a job with steps "1x1000"
    When a scheduling round runs
    And a job with steps "1x1000" arrives
    And 10 looks at the waiting steps are taken, one a second
    And the worker "w0" becomes silent
    And 4 looks at the waiting steps are taken, one a second
    And worker "w1" joins with 1000 millicores
    And 4 looks at the waiting steps are taken, one a second
    Then the waits of job 1 are listed with "no room, no usable worker, start order not answered"
    When all tasks that were placed have started
    And 4 looks at the waiting steps are taken, one a second
    Then the end of the wait of job 1 is listed once, after 18 seconds

  # Guards against a log that is drowned by the steps that wait at a peak.
  Scenario: Of 1,000 waiting steps few are listed, one of each reason first
    Given workers "w0" with 1000 millicores
    And a job with steps "1x1000"
    When a scheduling round runs
    And 1000 jobs of queue "patient" arrive with steps "1x1000"
    And a job of queue "unlisted" arrives with steps "1x100"
    And 10 looks at the waiting steps are taken, one a second
    Then 1 to 5 steps are listed by each look
    And the first look that lists steps counts 997 others, and lists job 1001
