Feature: Logging never blocks and stays bounded

  Scenario: A blocked reader causes dropped lines but does not block the caller
    Given a log whose reader is blocked
    When 5000 lines are written
    Then all calls have returned
    When the reader is unblocked and a second passes
    Then a line has the number of dropped lines

  Scenario: Without the queue a blocked reader blocks the caller
    Given a log that writes to a blocked reader without a queue
    When a line is written while the reader is blocked
    Then the call has not returned

  Scenario: The rate limit of one kind of line does not affect the others
    Given a log whose reader is not blocked
    When 1000 lines of one kind and 1 of another are written in one second
    Then 400 lines of the first kind and 1 of the other were written
