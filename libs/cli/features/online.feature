@cluster
Feature: The command-line tool with a server

  Scenario: A value can be traced to its file, line and author
    Given the file "archive.yaml" with "quota:\n  cores: 4\nservices: {s: {pool: transcription}}"
    When "settings set /teams/archive FOLDER/archive.yaml 0" is run
    Then it exits with 0
    When "settings get /teams/archive/quota/cores" is run
    Then it exits with 0
    And it prints "4"
    When "settings explain /teams/archive/quota/cores --also OTHER --also http://127.0.0.1:1" is run
    Then it exits with 0
    And it prints "comes from      FOLDER/archive.yaml:2"
    And it prints "set by          operator"
    And it prints "in force on     entry-colombo"
    And it prints "http://127.0.0.1:1 (not reached)"
    When "settings explain /teams/archive/services/s/slots_per_endpoint" is run
    Then it prints "comes from      the default, no file sets it"
    When "settings get /teams/archive/quota/core" is run
    Then it exits with 2
    And it prints "/teams/archive/quota/core:1: does not exist, expected one of: cores"

  Scenario: A second change of the same version is refused
    Given the file "pool.yaml" with "at_once: 1"
    When "settings set /pools/race FOLDER/pool.yaml 0" is run
    Then it exits with 0
    When "settings set /pools/race FOLDER/pool.yaml 0" is run
    Then it exits with 1
    And it prints "/pools/race is at version 1 set by operator, expected version 0"
    When "settings history /pools/race --output json" is run
    Then it prints JSON with 1 items

  Scenario: Applying a folder publishes only the documents that differ
    Given the file "pools/spare.yaml" with "at_once: 1"
    And the file "teams/readers.yaml" with "services: {read: {pool: spare}}"
    When "settings apply FOLDER" is run
    Then it exits with 0
    And it prints "/pools/spare new 1"
    And it prints "/teams/readers new 1"
    Given the file "pools/spare.yaml" with "at_once: 2"
    When "settings apply FOLDER" is run
    Then it exits with 0
    And it prints "/pools/spare changed 2"
    And it prints "/teams/readers unchanged 1"
    Given the file "teams/readers.yaml" with "services: {read: {pool: other}}"
    When "settings apply FOLDER" is run
    Then it exits with 2
    And it prints "readers.yaml:1: services.read.pool: no document describes /pools/other"

  Scenario: A token cannot be used by two teams
    Given the file "a.yaml" with "tokens: [{token}]"
    When "settings set /teams/first FOLDER/a.yaml 0" is run
    Then it exits with 0
    When "settings set /teams/second FOLDER/a.yaml 0" is run
    Then it exits with 2
    And it prints "/teams/second:1: tokens[0]: /teams/first uses the same token"

  Scenario Outline: A refusal of the server has an exit code and a reason
    When "<command>" is run
    Then it exits with <code>
    And it prints "<text>"

    Examples:
      | command                                    | code | text                                                 |
      | status --token wrong                       | 1    | the token is missing or not known                    |
      | settings get /teams/nobody                 | 1    | the path /teams/nobody does not exist                |
      | settings get /nowhere                      | 1    | the path /nowhere does not exist                     |
      | job show nothing                           | 1    | job nothing does not exist                           |
      | job cancel nothing                         | 1    | has none of these jobs                               |
      | job submit index nopool                    | 2    | known pools: transcription                           |
      | job submit index transcription --cores -1  | 2    | cores: expected `int` >= 1                           |
      | wave start nopool                          | 1    | pool nopool does not exist                           |
      | wave show nothing                          | 1    | wave nothing does not exist                          |
      | wave pause nothing                         | 1    | wave nothing does not exist                          |
      | wave show a/../..                          | 1    | does not exist                                       |
      | job show %00                               | 1    | does not exist                                       |

  Scenario Outline: Lists and the status are shown as text and as JSON
    When "<command>" is run
    Then it exits with 0
    And it prints "<text>"
    When "<command> --output json" is run
    Then it exits with 0
    And it prints JSON

    Examples:
      | command       | text             |
      | status        | entry-colombo    |
      | pool list     | transcription    |
      | vm list       | transcription-0  |
      | job list      | nothing to show  |
      | wave list     | nothing to show  |
      | settings list | path             |
