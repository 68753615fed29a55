Feature: The journal of a daemon over the platform's log

  Scenario: A change is in force on every daemon, and its writer is told
    Given 3 daemons over one log
    When one of them publishes a setting
    Then it is in force on all of them

  Scenario: An append whose answer was lost counts once
    Given 3 daemons over one log
    When the answer to an append is lost
    Then it is in force on all of them

  Scenario: A daemon starts although the first records have expired
    Given 3 daemons over one log
    When a snapshot was written and the records before it expire
    Then a new daemon starts with the same state
    And a daemon that was cut off meanwhile goes on with the same state

  Scenario: A daemon that meets a record of a newer version stops deciding
    Given 3 daemons over one log
    When a record of an unknown kind is appended
    Then each of them refuses to commit and has read nothing lately
