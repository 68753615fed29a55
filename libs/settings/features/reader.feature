Feature: Reading settings documents

  Scenario: Every problem is reported with its line
    Given the document "/teams/archive"
      """
      quota:
        core: 4
      services:
        transcribe:
          timeout_seconds: -1
      """
    When it is read
    Then these problems are reported
      | line | field                                | message                                   |
      | 2    | quota.core                           | unknown key                               |
      | 4    | services.transcribe                  | the key "pool" is missing                 |
      | 5    | services.transcribe.timeout_seconds  | expected `float` > 0.0                    |

  Scenario Outline: Text that is not a document is rejected with its line
    Given the text <text> for "/fleet"
    When it is read
    Then the problem is on line <line>

    Examples:
      | text              | line |
      | "a: ["            | 1    |
      | "weights: &x {}"  | 1    |
      | "\n\n- 1"         | 3    |
      | "a: 1\na: 2"      | 2    |

  Scenario: Any text gives settings or problems
    Then reading any text at any path raises no other error
