Feature: Jobs are closed as failed only on what their tasks have done

  # Guards against a job that is closed as failed although nothing of it has to
  # run again: a copy failed behind the one that was done.
  Scenario: A copy that fails after its task is done does not fail the job
    Given workers "w0 w1" with 1000 millicores
    And a job with steps "1x1000 copies, 1x1000 after 0"
    When the task has failed 1 times, and the worker of its next attempt is silent
    And another attempt of the task ends "done"
    And the silent worker reports that its attempt ended "failed"
    Then the job goes on to its end

  # Guards against a job that is closed on the failure of an attempt that was given
  # up, as its leases had run out, and started elsewhere.
  Scenario Outline: A failure that is reported <when> <counts>
    Given workers "w0 w1" with 1000 millicores
    And a job with steps "<steps>"
    When the task has failed 1 times, and the worker of its next attempt is silent
    And the attempt is replaced after <seconds> seconds
    And the silent worker reports that its attempt ended "failed"
    Then the job is <state>, and its first task counts <count> failures

    Examples:
      | when                        | counts         | steps         | seconds | state  | count |
      | after the leases of a copy  | does not count | 1x1000 copies | 7       | open   | 1     |
      | after the leases of a task  | does not count | 1x1000        | 7       | open   | 1     |
      | within the leases of a copy | counts         | 1x1000 copies | 1       | failed | 2     |

  # Guards against a failure that counts at the next owner although all leases on
  # its worker had run out before the worker was reached.
  Scenario: A failure that the next owner reads after the leases does not count
    Given workers "w0 w1" with 1000 millicores
    And a job with steps "1x1000"
    When the task has failed 1 times, and the worker of its next attempt is silent
    And another owner takes over that does not reach the silent worker
    And the attempt is replaced after 9 seconds
    And the silent worker reports that its attempt ended "failed"
    Then the job is open, and its first task counts 1 failures

  # Guards against a failure that counts although the leases have run out, as no
  # round was run meanwhile.
  Scenario: A failure does not count after an outage that outlasts the leases
    Given workers "w0 w1" with 1000 millicores
    And a job with steps "1x1000"
    When the task has failed 1 times, and the worker of its next attempt is silent
    And no round is run for 7 seconds
    And the silent worker reports that its attempt ended "failed"
    Then the job is open, and its first task counts 1 failures

  # Guards against an attempt too many: the last failure was reported to an owner
  # that had not read the configuration yet.
  Scenario: A job fails while the configuration of its queue is not known
    Given workers "w0 w1 w2" with 1000 millicores
    And a job of queue "patient" with steps "1x1000", accepted with 2 attempts
    When the task fails once, and again while no configuration is known
    And each task that starts ends "failed", for 10 seconds
    Then the job has failed after 2 attempts

  # Guards against a failure that counts again as it is listed again: to the same
  # owner, to the next one, or under the first numbers of another incarnation.
  Scenario Outline: A failure counts once although it is listed again <how>
    Given workers "w0 w1" with 1000 millicores
    And a job with steps "1x1000"
    When the task has failed 1 times, and the worker of its next attempt is silent
    And the first failure is listed again <how>
    Then the job is open, and its first task counts 1 failures

    Examples:
      | how                     |
      | after the leases        |
      | by the next incarnation |
      | to the next owner       |

  # Guards against failures of other tasks that count: of another occurrence, and
  # of one that is in the same place of another step.
  Scenario: Failures count for their own task and occurrence only
    Given workers "w0 w1 w2 w3" with 1000 millicores
    And a job due at 0 ms, every 10 ms, 2 times, with steps "1x1000, 1x1000"
    When each running task has failed once
    Then the job is open, and each of its 4 tasks counts 1 failures

  # Guards against a permanent task whose failures end its job.
  Scenario: Failures of a permanent task do not fail its job
    Given workers "w0 w1 w2" with 1000 millicores
    And a job with steps "1x1000 permanent"
    When each task that starts ends "failed", for 20 seconds
    Then the job is open, and its first task counts over 2 failures

  # Guards against a cancelled job that is shown as failed.
  Scenario: A cancelled job stays cancelled when its tasks fail
    Given workers "w0 w1" with 1000 millicores
    And a job with steps "1x1000"
    When the task has failed 1 times, and the worker of its next attempt is silent
    And the job is cancelled by its client
    And the silent worker reports that its attempt ended "failed"
    Then the outcome of the job is "cancelled"

  # Guards against a job that is shown as failed on an older record, by a former
  # owner, which is read behind a newer one.
  Scenario: A record of a job that is read late does not replace a newer one
    Given a job whose progress was stored as open in term 2 and as failed in term 1
    When the records are read in any order, also again
    Then the job is always shown as running once the newer one is read

  # Guards against any other way by which a sound job is closed, or a hopeless one
  # is started beyond its limit.
  Scenario: In fleets with random faults jobs fail only if a task failed so often
    When fleets 40 to 119 of jobs that may fail run with random faults
    Then jobs of them have failed, and every job has ended
    And each job that has failed had an unfinished task that failed too often
    And no task has started after its last allowed failure
