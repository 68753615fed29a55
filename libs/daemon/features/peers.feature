Feature: Heartbeats and state transfer within an availability zone

  Scenario: A daemon starts from a peer's state while the log is down
    Given 3 connected daemons, and a setting in force
    When the platform's log goes down and a new daemon starts
    Then it has the setting at the offset of its peers
    And it must not plan

  Scenario: It continues with the log once the log is back
    Given 3 connected daemons, and a setting in force
    When the log comes back after a new daemon has started without it
    Then all of them reach the same state

  Scenario: A daemon whose state differs from the others halts
    Given 3 connected daemons, and a setting in force
    When the digest of one of them is corrupted
    Then it halts and the others do not
