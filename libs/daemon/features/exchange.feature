Feature: The body of a request

  Scenario Outline: A body arrives whole, and again while it is small
    Given a body of <pieces> pieces of <size> bytes
    When its body is read
    Then it has arrived whole
    And it is <again>

    Examples:
      | pieces | size   | again            |
      | 1      | 0      | still replayable |
      | 1      | 10     | still replayable |
      | 3      | 10     | still replayable |
      | 1      | 100000 | not replayable   |
      | 3      | 100000 | not replayable   |
      | 40     | 2000   | not replayable   |

  Scenario: A body that was read in part is sent from its beginning
    Given a body of 3 pieces of 10 bytes
    When only its first piece is read
    And its body is read
    Then it has arrived whole
