Feature: The demo with separate processes

  Scenario: All steps of the demo succeed
    When the demo is run
    Then it ends with "All steps succeeded."
