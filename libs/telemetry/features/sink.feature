Feature: Logging never blocks and stays bounded

  Scenario: A reader that stands still costs lines, not time
    Given a log whose reader stands still
    When 5000 lines are written
    Then all calls have returned
    When the reader goes on and a second passes
    Then a line counts what was left out

  Scenario: Without the queue a writer is stuck behind its reader
    Given a log that writes to its reader directly
    When a line is written while the reader stands still
    Then the call has not returned

  Scenario: One kind of line can't crowd out the others
    Given a log whose reader is quick
    When 1000 lines of one kind and 1 of another are written in one second
    Then 400 lines of the first kind and 1 of the other were read
