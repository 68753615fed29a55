Feature: The command-line tool without a server

  Scenario Outline: An error before a server is reached has an exit code
    When "<command>" is run
    Then it exits with <code>
    And it prints "<text>"

    Examples:
      | command                                    | code | text                                        |
      | status                                     | 3    | was not reached                             |
      | status --server ftp://127.0.0.1:1          | 2    | expected http://IP:PORT                     |
      | status --server 127.0.0.1:1                | 2    | expected http://IP:PORT                     |
      | status --server http://127.0.0.1:99999     | 2    | expected http://IP:PORT                     |
      | status --server http://[                   | 2    | expected http://IP:PORT                     |
      | status --token ঔ                           | 2    | --token: expected printable ASCII           |
      | status --token=                            | 2    | a token is needed                           |
      | job submit index pool --key ঔ              | 2    | characters not allowed in an HTTP header    |
      | nothing                                    | 2    | Unknown command "nothing"                   |
      | job submit index pool --cores many         | 2    | unable to convert "many" into int           |
      | settings check nofile.yaml --path /fleet   | 2    | nofile.yaml: No such file                   |
      | settings set /fleet nofile.yaml 0          | 2    | nofile.yaml: No such file                   |
      | --help                                     | 0    | Exit codes: 0 done, 1 refused, 2 bad input  |
      | settings check --help                      | 0    | a folder with all settings                  |

  Scenario Outline: A file is checked as the document of its path
    Given the file "<file>" with "<text>"
    When "settings check FOLDER/<file>" is run
    Then it exits with <code>
    And it prints "<seen>"

    Examples:
      | file             | text           | code | seen                                              |
      | pools/portal.yaml | at_once: 2    | 0    | no problem found                                  |
      | pools/portal.yaml | at_once: 0    | 2    | portal.yaml:1: at_once: expected `int` >= 1       |
      | teams/a.yaml     | at_once: 2     | 2    | a.yaml:1: at_once: unknown key                    |
      | fleet.yaml       | weights: [     | 2    | fleet.yaml:1: not valid YAML                      |
      | other.yaml       | at_once: 2     | 2    | give the path of the document with --path         |

  Scenario: A folder is checked as a whole
    Given the file "teams/a.yaml" with "services: {s: {pool: portal}}"
    When "settings check FOLDER" is run
    Then it exits with 2
    And it prints "teams/a.yaml:1: services.s.pool: no document describes /pools/portal"
    Given the file "pools/portal.yaml" with "at_once: 1"
    When "settings check FOLDER" is run
    Then it exits with 0
    And it prints "no problem in 2 documents"

  Scenario: The outcome is unknown if the server closes the connection before it answers
    Given a server that reads the request and closes the connection
    When "job submit index transcription" is run
    Then it exits with 4
    And it prints "did not answer"

  Scenario: An arbitrary answer does not crash the tool
    Then the tool exits with a known code for any answer

  Scenario Outline: The examples of both users are valid
    When "settings check EXAMPLES/<user>" is run
    Then it exits with 0
    And it prints "no problem in <documents> documents"
    And the platform file of "<user>" has <vms> VMs in <zones> zones, at most 4 to a rack

    Examples:
      | user       | documents | vms | zones |
      | dharmavani | 20        | 30  | 3     |
      | bahla      | 19        | 40  | 4     |

  Scenario: Two start-up files with the same name and addresses
    Given the file "fleet.yaml" with "weights: {vm_moves: 2}"
    And the file "entries/a.yaml" with "{start}"
    And the file "entries/b.yaml" with "{start}\nzones: x"
    When "settings check FOLDER" is run
    Then it exits with 2
    And it prints "b.yaml:6: zones: unknown key"
    Given the file "entries/b.yaml" with "{start}"
    When "settings check FOLDER" is run
    Then it prints "b.yaml:1: FOLDER/entries/a.yaml uses entry-1, too"
