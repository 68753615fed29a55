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

  # Guards against jobs that wait without a line that says why.
  Scenario: A summary says why a job has nothing running
    Given workers "w0 w1" with 1000 millicores
    And a job with steps "2x1000"
    When the worker "w0" becomes silent
    And the worker "w1" becomes silent
    Then no job has been idle for long
    And after 3 seconds 1 job has been idle for 3 seconds, in step 0
    And 2 of its tasks wait, and 2 workers are "silent"

  # Guards against jobs that wait for a task which only seems to run.
  Scenario: A summary names the step whose task is attached but not running
    Given workers "w0" with 1000 millicores
    And a job with steps "1x1000"
    When a scheduling round runs
    Then no job has been idle for long
    And after 3 seconds 1 job has been idle for 3 seconds, in step 0
    And 1 of its tasks are "placed"
