Feature: Tracing a job through the logs of several daemons

  Scenario: Lines of two daemons are merged into one timeline of the job
    Given the log of "one" shows at 5 s that tasks "ab.0.0.0 cd.0.0.0" start
    And the log of "two" shows at 3 s that job "ab" was submitted
    And the log of "two" holds a line that is not JSON and contains "ab"
    When job "ab" is traced
    Then the timeline is "two 3 desk: Job submitted., one 5 owner: Starting tasks."
    And the last event lists only the task "ab.0.0.0"

  Scenario: Lines of a benchmark begin with its time and the name of the VM
    Given a line " -1.5000 edge-1 " before "desk: Job submitted." of job "ab"
    When job "ab" is traced
    Then the timeline is "edge-1 -1.5 desk: Job submitted."

  # Guards against traces that begin with all jobs that were submitted with one.
  Scenario: Of jobs that were submitted together only the traced one is kept
    Given the log of "one" shows at 3 s that jobs "ab cd" were submitted
    When job "ab" is traced
    Then the timeline is "one 3 desk: Jobs submitted."
    And the event lists only the job "ab"
