Feature: Endpoints that leave, and lists that can't be read

  Scenario Outline: An endpoint gets nothing new soon after the first sign
    Given two endpoints that are "answer", with requests every 0.1 seconds
    When one of them is seen to leave by <sign> while it has a long request
    Then it gets no new request later than 3 seconds after that
    And its long request is answered whole

    Examples:
      | sign                |
      | the platform's list |
      | a charge in fold    |
      | a move in the fold  |

  Scenario: A list that can't be read stays in force and its age is told
    Given two endpoints that are "answer", with requests every 0.1 seconds
    When the list can't be read for 60 seconds
    Then all requests are answered
    And those after 5 seconds tell the age of the list
