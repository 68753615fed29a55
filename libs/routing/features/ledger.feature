Feature: Idempotency keys are granted once

  Scenario: No request runs twice with one key despite failures
    Then no key is used by two runs despite kills, lost answers and retries

  Scenario: A forged key or one of another team is not granted
    Given a ledger that has issued a key to team "archive"
    Then team "archive" may claim it once
    And team "bidding" may not claim it
    And a changed key may not be claimed

  Scenario: A key older than the window is not granted
    Given a ledger of 4 keys that has issued one to "archive"
    When 4 more keys are issued
    Then the claim of the first key is answered "expired"

  Scenario: Parsing a key accepts any text
    Then any text is parsed without an error
