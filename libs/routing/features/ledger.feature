Feature: A key is granted once

  Scenario: No key runs twice, whatever entry VMs and messages do
    Then no key runs twice under kills, lost answers and retries

  Scenario: A forged key or one of another team is not granted
    Given a ledger that has issued a key to team "archive"
    Then team "archive" may claim it once
    And team "bidding" may not claim it
    And a changed key may not be claimed

  Scenario: A key behind the window is not granted
    Given a ledger of 4 keys that has issued one to "archive"
    When 4 more keys are issued
    Then the claim of the first key is answered "expired"

  Scenario: Any text is read as a key or as none
    Then any text is read without an error
