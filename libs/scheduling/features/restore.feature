Feature: Restoring tasks after a takeover

  # Guards against tasks that each new owner sends back to a failing worker.
  Scenario: A task still avoids the workers where it failed
    Given a job whose task 0 has failed on "w1 w3"
    When its progress is stored and restored
    Then task 0 avoids "w1 w3" and has failed 2 times
    And task 1 avoids "" and has failed 0 times

  Scenario: A record without workers to avoid can be restored
    Given a job whose task 0 has failed on "w1 w3"
    When its progress is stored without workers to avoid and restored
    Then task 0 avoids "" and has failed 2 times

  # Guards against a count of crashes that each new owner starts anew.
  Scenario: The workers that crashed under a task are known to the next owner
    Given a job whose task 0 has failed on "w1 w3"
    And three workers crashed under task 0, two under no other job
    When its progress is stored and restored
    Then 3 workers have crashed under task 0
    And 0 workers have crashed under task 1
    And task 1 is on an incarnation of its worker that is known

  # Guards against upgrades that stop at records of the earlier version.
  Scenario: A record without crashes can be restored
    Given a job whose task 0 has failed on "w1 w3"
    When its progress is stored without crashes and restored
    Then task 0 avoids "w1 w3" and has failed 2 times
    And 0 workers have crashed under task 0
    And task 1 is on an incarnation of its worker that is unknown
