Feature: The body of a request

  Scenario Outline: A body arrives complete, and a small one can be read again
    Given a body of <chunks> chunks of <size> bytes
    When its body is read
    Then it has arrived complete
    And it is <again>

    Examples:
      | chunks | size   | again            |
      | 1      | 0      | still replayable |
      | 1      | 10     | still replayable |
      | 3      | 10     | still replayable |
      | 1      | 100000 | not replayable   |
      | 3      | 100000 | not replayable   |
      | 40     | 2000   | not replayable   |

  Scenario: A body that was read in part is read again from its beginning
    Given a body of 3 chunks of 10 bytes
    When only its first chunk is read
    And its body is read
    Then it has arrived complete
