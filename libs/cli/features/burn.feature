@cluster
Feature: The burn report does not depend on the entry VM that counted

  Scenario: Counts of a stopped entry VM are reported by another one
    Given the file "archive.yaml" with "tokens: [{token}]\nservices:\n  s:\n    pool: transcription\n    objective: {availability: 0.9, latency_seconds: 2}\n  warm: {pool: transcription}"
    When "settings set /teams/archive FOLDER/archive.yaml 0" is run
    Then it exits with 0
    When "report burn" is run
    Then it exits with 0
    And it prints "archive/s 0"
    Given requests through the first entry VM, one of them too slow
    When the first entry VM is stopped
    And "report burn" is run
    Then it exits with 0
    And it prints "archive/s 4 0 1 100% of 90%, kept 75% of 95%, broken"
    When "report burn --output json --html FOLDER/burn.html" is run
    Then it exits with 0
    And it prints JSON
    And the page "burn.html" contains "1 of 2 promises are kept"
    When "report burn --html FOLDER/nowhere/burn.html" is run
    Then it exits with 2
    And it prints "No such file or directory"
