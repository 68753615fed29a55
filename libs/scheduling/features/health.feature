Feature: Health of a partition

  # Without the reason, overload, takeover and a stuck task look alike.
  Scenario: A summary says why a permanent task does not run
    Given workers "w0 w1 w2" with 1000 millicores
    And a job with steps "3x1000 permanent"
    When a scheduling round runs
    And the permanent tasks are serving
    And a job with steps "1x1000 permanent" arrives
    And the worker "w2" becomes silent
    Then 1 permanent task is idle in phase "waiting"
    And its obstacles are "no room" on 2 workers and "silent" on 1

  Scenario: The age of reports leaves out workers that count as silent
    Given workers "w0 w1" with 1000 millicores
    When the worker "w1" becomes silent
    Then the oldest report is 2 seconds old after 2 seconds without reports
    And 1 worker is silent
