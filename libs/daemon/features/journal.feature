Feature: The journal of a daemon over the platform's log

  Scenario: A committed change takes effect on every daemon
    Given 3 daemons over one log
    When one of them publishes a setting
    Then it is in force on all of them

  Scenario: An append whose response was lost is applied once
    Given 3 daemons over one log
    When the response to an append is lost
    Then it is in force on all of them

  Scenario: A daemon starts after the first records have expired
    Given 3 daemons over one log
    When a snapshot was written and the records before it expire
    Then a new daemon starts with the same state
    And a daemon that was disconnected meanwhile reaches the same state

  Scenario: A daemon halts at a record of a newer version
    Given 3 daemons over one log
    When a record of an unknown kind is appended
    Then each of them refuses to commit and reports no recent read

  Scenario: A disconnected member is retired and returns when it reconnects
    Given 3 daemons over one log
    When one of them is disconnected for an hour
    Then it is not a member meanwhile, and is one afterwards
