Feature: The whole path as separate processes

  Scenario: The demo happens from end to end
    When the demo is run
    Then it ends with "All steps happened."
