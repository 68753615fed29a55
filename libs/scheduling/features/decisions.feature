Feature: Single decisions of a scheduler

  Scenario: A step waits for those before it
    Given workers "w0 w1" with 4000 millicores
    And a job with steps "2x1000, 1x500 after 0"
    When a round is decided
    Then 2 tasks start
    When all running tasks end "done"
    And a round is decided
    Then 1 tasks start

  Scenario: Priority 0 comes first
    Given workers "w0" with 2000 millicores
    And a job of queue "patient" with steps "2x1000"
    And a job of queue "urgent" with steps "2x1000"
    When a round is decided
    Then only tasks of queue "urgent" start

  Scenario: At the height of a peak jobs that can be in time go first
    Given workers "w0" with 1000 millicores
    And a job of queue "timely" with steps "1x1000 lasting 1"
    When a round is decided
    And a job of queue "timely" arrives with steps "1x1000 lasting 1"
    And 3 seconds go by
    And a job of queue "timely" arrives with steps "1x1000 lasting 1"
    And one running task ends "done"
    And a round is decided
    Then the job that starts is number 2
    When 20 seconds go by
    And a job of queue "timely" arrives with steps "1x1000 lasting 1"
    And one running task ends "done"
    And a round is decided
    Then the job that starts is number 1

  Scenario: A permanent task that fits nowhere keeps a worker for itself
    Given workers "w0" with 2000 millicores
    And a job with steps "4x1000"
    When a round is decided
    And a job with steps "1x2000 permanent" arrives
    And one running task ends "done"
    And a round is decided
    Then 0 tasks start
    When one running task ends "done"
    And a round is decided
    Then only permanent tasks start

  Scenario: No more tasks of a step on a worker than it allows
    Given workers "w0 w1" with 8000 millicores
    And a job with steps "5x500 at most 1"
    When a round is decided
    Then 2 tasks start
    And every worker has 1 tasks

  Scenario: A gang starts whole or not at all
    Given workers "w0 w1" with 2000 millicores
    And a job with steps "3x2000 gang"
    When a round is decided
    Then 0 tasks start
    And nothing has to be stored
    When worker "w2" joins with 2000 millicores
    And a round is decided
    Then 3 tasks start
    And all starts have attempt 1

  Scenario Outline: After failures the only worker is tried again soon
    Given workers "w0" with 8000 millicores
    And a job with steps "1x500 permanent"
    When a round is decided
    And <count> jobs of queue "timely" arrive with steps "1x500"
    And a round is decided
    And all tasks that are not permanent end "failed"
    And 2.9 seconds go by, a round every 0.1 seconds
    Then tasks have started

    Examples:
      | count |
      | 1     |
      | 6     |

  Scenario: Small tasks leave workers free to be lent
    Given workers "w0 w1 w2 w3" with 4000 millicores
    And a job with steps "4x1000"
    When a round is decided
    And a job with steps "2x1000" arrives
    And a round is decided
    Then 2 workers have no task

  Scenario: Scheduled occurrences start no earlier than they are due
    Given workers "w0" with 4000 millicores
    And a job due at 5000 ms, every 2000 ms, 2 times, with steps "1x500"
    When a round is decided at 4 s
    Then 0 tasks start
    When a round is decided at 5 s
    Then 1 tasks start
    When a round is decided at 7 s
    Then 1 tasks start

  Scenario: Permanent tasks leave a closing worker one at a time
    Given workers "w0 w1" with 8000 millicores
    And a job with steps "2x500 permanent budget 1"
    When a round is decided
    Then 2 tasks start
    When the permanent tasks are at work
    And the worker that has them is closing
    And a round is decided
    Then 1 attempts are stopped
    When a round is decided
    Then 0 attempts are stopped

  Scenario: Scavengers slow down before they harm the tasks beside them
    Given workers "w0" with 8000 millicores
    And a job with steps "1x1000 permanent target 100"
    And a job with steps "1x4000 permanent scavenges"
    When a round is decided
    And tails of 90 ms are reported
    And a round is decided
    Then the scavenger is paced to 50 percent
    When tails of 120 ms are reported
    And a round is decided
    Then the scavenger is paced to 0 percent
    When tails of 30 ms are reported
    And a round is decided
    Then the scavenger is paced to 15 percent

  Scenario: A refused start waits before it is tried again
    Given workers "w0" with 4000 millicores
    And a job with steps "1x500"
    When a round is decided at 1 s
    And the starts are refused
    And a round is decided at 1.1 s
    Then 0 tasks start
    When a round is decided at 1.5 s
    Then 1 tasks start

  Scenario: A pool asks for workers by what waits, and never for less than its floor
    Given workers "w0 w1 w2" with 4000 millicores
    And a job with steps "3x500 permanent at most 1"
    Then the pool wants 4 workers, with a floor of 4
    When a job with steps "30x1000" arrives
    Then the pool wants 11 workers, with a floor of 4

  Scenario: A worker whose entry lapses keeps what was left behind on it
    Given workers "w0 w1" with 4000 millicores
    And a job with steps "2x3000 copies"
    When a round is decided
    And the worker "w0" falls silent
    And the entry of worker "w0" lapses and comes back
    And it is heard of again, without the attempt
    And a job with steps "2x3000" arrives
    And a round is decided
    Then no task starts on "w0"
