Feature: Workers that restart under their ids

  What was meant for one incarnation of a worker must do no harm in the next.

  Scenario: A call without an answer is logged with what it was meant for
    Given 1 daemons, and 2 workers that can restart under their ids, with tasks that last
    When a job of 10 tasks is submitted
    And 2 seconds pass
    And worker "w1" crashes
    And 0.6 seconds pass
    And worker "w1" restarts
    And 2 seconds pass
    Then the log says what the calls without an answer were meant for
