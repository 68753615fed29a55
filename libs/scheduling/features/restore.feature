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
