Feature: Daemons of one availability zone talk to each other

  Scenario: A daemon starts from a peer's state while the log is down
    Given 3 daemons that call each other, and a setting in force
    When the platform's log goes down and a new daemon starts
    Then it shows the setting at the offset of its peers
    And it may not plan

  Scenario: It goes on with the log when that is back
    Given 3 daemons that call each other, and a setting in force
    When the log is back after a new daemon has started without it
    Then all of them come to the same state

  Scenario: A daemon whose state differs from the others halts
    Given 3 daemons that call each other, and a setting in force
    When the digest of one of them is damaged
    Then it halts and the others do not
