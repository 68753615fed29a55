Feature: Leaving endpoints and stale VM lists

  Scenario Outline: An endpoint gets no new requests soon after any source says it leaves
    Given two endpoints with behavior "answer", with requests every 0.1 seconds
    When one of them leaves according to <source> during a long request
    Then it gets no new request later than 3 seconds after that
    And its long request gets a complete response

    Examples:
      | source              |
      | the platform's list |
      | a charge in fold    |
      | a move in the fold  |

  Scenario: A list that can't be read stays in use and its age is reported
    Given two endpoints with behavior "answer", with requests every 0.1 seconds
    When the list can't be read for 60 seconds
    Then all requests are answered
    And responses after 5 seconds carry the age of the list
