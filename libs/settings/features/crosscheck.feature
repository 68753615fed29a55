Feature: Checks across all settings documents of a fleet

  Scenario: Problems between documents are reported with file and line
    Given the documents of a fleet
      | path            | text                                            |
      | /pools/portal   | at_once: 1                                      |
      | /teams/archive  | tokens: [{a}]\nservices:\n  s: {pool: portall}  |
      | /teams/listener | budgets:\n- {max_unavailable: 1, pool: portal}\n- {max_unavailable: 1, pool: other}\ntokens:\n- {a} |
    When the documents are checked
    Then these problems are found
      | problem                                                                             |
      | archive.yaml:3: services.s.pool: no document describes /pools/portall               |
      | listener.yaml:3: budgets[1].pool: no document describes /pools/other                |
      | listener.yaml:5: tokens[0]: /teams/archive uses the same token                      |

  Scenario Outline: An invalid number or hash is rejected
    Given the text <text> for "<path>"
    When it is read
    Then the only problem starts with "<message>"

    Examples:
      | path     | text                                        | message                                  |
      | /teams/a | "services: {s: {pool: p, timeout_seconds: .inf}}" | expected a finite number, got inf  |
      | /teams/a | "services: {s: {pool: p, timeout_seconds: .nan}}" | expected a finite number, got nan  |
      | /fleet   | "weights: {vm_moves: 0}"                    | expected `float` > 0.0                   |
      | /teams/a | "tokens: [abc]"                             | expected 64 characters 0-9 a-f           |

  Scenario Outline: A path is resolved to a value and its line
    Given the text "quota:\n  cores: 4\nbudgets:\n  - pool: p\n    max_unavailable: 1" for "/teams/a"
    Then <path> is <setting> from line <line>

    Examples:
      | path                              | setting | line    |
      | /teams/a/quota/cores              | 4       | 2       |
      | /teams/a/budgets/0/pool           | "p"     | 4       |
      | /teams/a/services                 | {}      | none    |

  Scenario: A path without a value is reported with the keys that exist
    Given the text "quota:\n  cores: 4" for "/teams/a"
    Then looking up /teams/a/quota/core fails with "/teams/a/quota/core:1: does not exist, expected one of: cores"
    And looking up /teams/a/budgets/3 fails with "/teams/a/budgets/3:1: does not exist"
