Feature: Scheduling rounds

  Scenario: A step waits for its prerequisites
    Given workers "w0 w1" with 4000 millicores
    And a job with steps "2x1000, 1x500 after 0"
    When a scheduling round runs
    Then 2 tasks start
    When all running tasks end "done"
    And a scheduling round runs
    Then 1 tasks start

  Scenario: Jobs of queues with priority 0 start first
    Given workers "w0" with 2000 millicores
    And a job of queue "patient" with steps "2x1000"
    And a job of queue "urgent" with steps "2x1000"
    When a scheduling round runs
    Then only tasks of queue "urgent" start

  Scenario: At a peak, jobs that can still meet their objective start first
    Given workers "w0" with 1000 millicores
    And a job of queue "timely" with steps "1x1000 lasting 1"
    When a scheduling round runs
    And a job of queue "timely" arrives with steps "1x1000 lasting 1"
    And 3 seconds go by
    And a job of queue "timely" arrives with steps "1x1000 lasting 1"
    And one running task ends "done"
    And a scheduling round runs
    Then the only job to start is number 2
    When 20 seconds go by
    And a job of queue "timely" arrives with steps "1x1000 lasting 1"
    And one running task ends "done"
    And a scheduling round runs
    Then the only job to start is number 1

  # Guards against overload in which all jobs begin and few end in time.
  Scenario: At a peak, jobs that have begun precede new ones
    Given workers "w0" with 1000 millicores
    And a job of queue "timely" with steps "1x1000 lasting 1, 1x1000 after 0 lasting 1"
    When a scheduling round runs
    And a job of queue "timely" arrives with steps "1x1000 lasting 1"
    And one running task ends "done"
    And a scheduling round runs
    Then the only job to start is number 0

  Scenario: A permanent task that fits on no worker reserves one
    Given workers "w0" with 2000 millicores
    And a job with steps "4x1000"
    When a scheduling round runs
    And a job with steps "1x2000 permanent" arrives
    And one running task ends "done"
    And a scheduling round runs
    Then 0 tasks start
    When one running task ends "done"
    And a scheduling round runs
    Then only permanent tasks start

  Scenario: A worker runs no more tasks of a step than the step allows
    Given workers "w0 w1" with 8000 millicores
    And a job with steps "5x500 at most 1"
    When a scheduling round runs
    Then 2 tasks start
    And every worker has 1 tasks

  Scenario: A gang starts as a whole or not at all
    Given workers "w0 w1" with 2000 millicores
    And a job with steps "3x2000 gang"
    When a scheduling round runs
    Then 0 tasks start
    And nothing has to be stored
    When worker "w2" joins with 2000 millicores
    And a scheduling round runs
    Then 3 tasks start
    And all starts have attempt 1

  # A gang that waited for room kept all other tasks of its pool from starting.
  Scenario: Tasks start beside a gang that waits for room
    Given workers "w0 w1" with 2000 millicores
    And a job with steps "3x2000 gang"
    And a job with steps "1x2000"
    When a scheduling round runs
    Then 1 tasks start

  Scenario Outline: The only worker of a pool is tried again soon after failures
    Given workers "w0" with 8000 millicores
    And a job with steps "1x500 permanent"
    When a scheduling round runs
    And <count> jobs of queue "timely" arrive with steps "1x500"
    And a scheduling round runs
    And all tasks that are not permanent end "failed"
    And 2.9 seconds go by, with a round every 0.1 seconds
    Then tasks have started

    Examples:
      | count |
      | 1     |
      | 6     |

  Scenario: Small tasks are packed, so that other workers stay free
    Given workers "w0 w1 w2 w3" with 4000 millicores
    And a job with steps "4x1000"
    When a scheduling round runs
    And a job with steps "2x1000" arrives
    And a scheduling round runs
    Then 2 workers have no task

  Scenario: Scheduled occurrences start no earlier than they are due
    Given workers "w0" with 4000 millicores
    And a job due at 5000 ms, every 2000 ms, 2 times, with steps "1x500"
    When a scheduling round runs at 4 s
    Then 0 tasks start
    When a scheduling round runs at 5 s
    Then 1 tasks start
    When a scheduling round runs at 7 s
    Then 1 tasks start

  # Guards against a task that is blamed as if it had been alone on its worker,
  # since only the answer to its stop order showed that the worker is over.
  Scenario: A stop order that finds another worker releases all attempts there
    Given workers "w0" with 4000 millicores
    And a job with steps "1x1000"
    And a job with steps "1x1000"
    When a scheduling round runs
    And the first job is cancelled, and its stop order finds another worker
    Then the task of the second job waits
    And the crash points to it as to one of several

  # Guards against jobs that are given up for workers that crashed before the
  # start arrived: its order got no answer, and other jobs were there.
  Scenario: A start that got no answer on a shared worker is hardly evidence
    Given workers "w0" with 4000 millicores
    And a job with steps "1x1000"
    And a job with steps "1x1000"
    When a scheduling round runs
    And no start is answered, and the worker is lost
    Then the task of the second job waits
    And the crash does not point to it

  # Guards against a job that takes all memory of its owner, and of the next one,
  # as all its occurrences are due at once.
  Scenario: Occurrences that are due in great number come bit by bit
    Given workers "w0" with 4000 millicores
    And a job due at 0 ms, every 1 ms, 2000000000 times, with steps "2x500"
    When a scheduling round runs at 3000000 s
    Then 8 tasks start
    And the job has 100 occurrences
    When all running tasks end "done"
    And a scheduling round runs at 3000002 s
    Then 8 tasks start
    And the job has 104 occurrences

  # Guards against two evictions in one round that exceed the budget together, as
  # in seed 951 of the fault soak.
  Scenario: A worker that announces its draining counts before the others
    Given a permanent step of two tasks, of which one may be unavailable
    When one worker is to be drained and another one announces its own draining in the same round
    Then only the task on the worker that announced it is stopped

  Scenario: Permanent tasks are evicted from a draining worker one at a time
    Given workers "w0 w1" with 8000 millicores
    And a job with steps "2x500 permanent budget 1"
    When a scheduling round runs
    Then 2 tasks start
    When the permanent tasks are serving
    And their worker is to be drained
    And a scheduling round runs
    Then 1 attempts are stopped
    When a scheduling round runs
    Then 0 attempts are stopped

  Scenario: Scavengers are throttled before they slow down serving tasks
    Given workers "w0" with 8000 millicores
    And a job with steps "1x1000 permanent target 100"
    And a job with steps "1x4000 permanent scavenges"
    When a scheduling round runs
    And a tail latency of 90 ms is reported
    And a scheduling round runs
    Then the scavenger is paced to 50 percent
    When a tail latency of 120 ms is reported
    And a scheduling round runs
    Then the scavenger is paced to 0 percent
    When a tail latency of 30 ms is reported
    And a scheduling round runs
    Then the scavenger is paced to 15 percent

  # After a takeover a scavenger that the former owner had paused stayed paused.
  Scenario: A new owner speeds up a scavenger that its predecessor paused
    Given workers "w0" with 8000 millicores
    And a job with steps "1x1000 permanent target 100"
    And a job with steps "1x4000 permanent scavenges"
    When a scheduling round runs
    And a tail latency of 120 ms is reported
    And a scheduling round runs
    Then the scavenger is paced to 0 percent
    When another owner takes over
    And a tail latency of 30 ms is reported
    And a scheduling round runs
    Then the scavenger is paced to 15 percent

  Scenario: A task whose start was refused waits before its next start
    Given workers "w0" with 4000 millicores
    And a job with steps "1x500"
    When a scheduling round runs at 1 s
    And the workers refuse the starts
    And a scheduling round runs at 1.1 s
    Then 0 tasks start
    When a scheduling round runs at 1.5 s
    Then 1 tasks start

  Scenario: A pool wants workers for its waiting tasks, and at least its minimum
    Given workers "w0 w1 w2" with 4000 millicores
    And a job with steps "3x500 permanent at most 1"
    Then the pool wants 4 workers, with a minimum of 4
    When a job with steps "30x1000" arrives
    Then the pool wants 11 workers, with a minimum of 4

  # Guards against a next peak that gets the VMs of the last one eight at a time.
  Scenario: A pool past its peak offers all workers beyond those it wants
    Given workers "w0 w1 w2 w3 w4 w5 w6 w7 w8 w9 wa wb" with 4000 millicores
    And a job with steps "1x500 permanent"
    When a scheduling round runs
    Then the pool wants 2 workers, with a minimum of 2
    And 10 workers can be drained

  Scenario: An orphaned attempt outlives the directory entry of its worker
    Given workers "w0 w1" with 4000 millicores
    And a job with steps "2x3000 copies"
    When a scheduling round runs
    And the worker "w0" becomes silent
    And the directory entry of worker "w0" expires and comes back
    And its next report does not list the attempt
    And a job with steps "2x3000" arrives
    And a scheduling round runs
    Then no task starts on "w0"

  # A scavenger that its owner had paused counted as stalled on a bad worker.
  Scenario: A paused scavenger does not count as stalled
    Given workers "w0" with 8000 millicores
    And a job with steps "1x1000 permanent target 100"
    And a job with steps "1x4000 scavenges"
    When a scheduling round runs
    And a tail latency of 120 ms is reported
    And a scheduling round runs
    Then the scavenger is paced to 0 percent
    When 2 seconds go by
    And a tail latency of 120 ms is reported
    And a scheduling round runs
    And 2 seconds go by
    And a tail latency of 120 ms is reported
    And a scheduling round runs
    Then 0 attempts are stopped

  # An orphan's worker was born anew, and was not used until a full pass.
  Scenario: A worker that was born anew gets tasks at once
    Given workers "w0" with 4000 millicores
    And a job with steps "1x4000 copies"
    When a scheduling round runs
    And the worker "w0" becomes silent
    And 0 seconds go by
    And a scheduling round runs
    Then 0 tasks start
    When worker "w0" is born anew
    And a scheduling round runs
    Then 1 tasks start

  # Guards against a pool that loses all its workers for good, asks for none and
  # never serves its jobs.
  Scenario: A pool without workers asks for some while it has jobs
    Given no workers
    Then the pool publishes no load
    When a job with steps "4x1000" arrives
    Then the pool wants 2 workers, with a minimum of 2
    And 0 workers can be drained

  # Guards against an empty worker that refuses all starts and stays the first
  # choice, so that a task never starts although other workers have room.
  Scenario Outline: A task goes elsewhere when its worker refuses all starts
    Given workers "w0 w1" with 16000 millicores
    And a job with steps "<steps>"
    When for 3 seconds worker "w0" answers starts with "<result>"
    Then all tasks have started on "w1"

    Examples:
      | result     | steps         |
      | refused    | 1x1400        |
      | refused    | 11x1400       |
      | refused    | 3x1400 copies |
      | other-life | 1x1400        |

  # Guards against a worker that answers polls only and stays the first choice.
  Scenario: A task goes elsewhere when its worker leaves all starts unanswered
    Given workers "w0 w1" with 16000 millicores
    And a job with steps "11x1400"
    When for 3 seconds worker "w0" leaves all starts unanswered
    Then all tasks have started on "w1"

  # Guards against a permanent task that reserves a worker for as long as it
  # waits, although no other task makes room for it by ending.
  Scenario Outline: A permanent task reserves no worker on which it can't fit
    Given workers "w0 w1" with 4000 millicores
    And a job with steps "<before>"
    When a scheduling round runs
    And a job with steps "<waiting>" arrives
    And a job with steps "<waiting>" arrives
    And a scheduling round runs
    And a job with steps "1x1000" arrives
    And a scheduling round runs
    Then 1 tasks start

    Examples:
      | before                     | waiting          |
      | 1x500                      | 1x5000 permanent |
      | 2x1000 permanent at most 1 | 1x4000 permanent |

  # Guards against accepted jobs that wait for ever once their queue was removed.
  Scenario: A job runs to its end although its queue is removed
    Given workers "w0" with 1000 millicores
    And a job of queue "patient" with steps "1x1000, 1x1000 after 0"
    When a scheduling round runs
    And all running tasks end "done"
    And the queue "patient" is removed
    And a scheduling round runs
    Then 1 tasks start

  # Guards against accepted jobs of a queue that their new owner has never seen.
  Scenario Outline: A new owner runs the jobs of a queue that was removed before
    Given workers "w0" with 1000 millicores
    And a job of queue "patient" with steps "1x1000"
    When another owner takes over
    And the queue "patient" is removed
    And <seconds> seconds go by, with a round every 0.1 seconds
    Then <count> tasks were started since

    Examples:
      | seconds | count |
      | 4       | 0     |
      | 7       | 1     |

  # Guards against a task that is started without limit: the next owner of a job
  # did not know how often it may fail, as the queue had been removed.
  Scenario Outline: A task fails no more often than its removed queue allowed
    Given workers "w0 w1 w2" with 1000 millicores
    And a job of queue "patient" with steps "1x1000", accepted with <accepted> attempts
    When the configuration allows <allowed> attempts
    And each task that starts ends "failed", for <seconds> seconds
    And another owner takes over
    And the queue "patient" is removed
    And each task that starts ends "failed", for 20 seconds
    Then the job has failed after <count> attempts

    Examples:
      | accepted | allowed | seconds | count |
      | 2        | 2       | 0       | 2     |
      | 3        | 2       | 0       | 3     |
      | 3        | 4       | 0.2     | 4     |
      | 4        | 2       | 0.2     | 2     |

  # Guards against an attempt too many: the end of a former attempt was
  # acknowledged, and stored only with the next change of its job.
  Scenario: The failure of a former attempt is stored before it is acknowledged
    Given workers "w0 w1" with 1000 millicores
    And a job with steps "1x1000 copies"
    When the worker of the only task is silent, and another starts a copy
    And the silent worker reports that its attempt ended "failed"
    Then the job is stored before the end is acknowledged
