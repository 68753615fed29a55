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

  # Guards against a log that ends, or a task that fails, for an odd field.
  Scenario Outline: A field that can't be encoded is described, and its line is written
    Given a log whose reader is not blocked
    When a line is written whose field is <field>
    And a line is written whose field is a text
    Then both lines were written, the first with "<description>"

    Examples:
      | field                        | description  |
      | a lone surrogate             | \ud800       |
      | a key with a lone surrogate  | \ud800       |
      | an unprintable object        | unprintable  |
      | nested too deeply            | list         |
      | a huge number                | int          |

  # Guards against a log that ends at an error of its stream.
  Scenario Outline: Lines that can't be written are counted, and the log goes on
    Given a log whose stream fails with <error> for 3 lines
    When 5 lines are written and a second passes
    Then 2 lines were written, and a line says that 3 were not, for "<error>"

    Examples:
      | error      |
      | OSError    |
      | ValueError |

  # Guards against lines that are cut, or run together with the next one.
  Scenario: Lines to a non-blocking pipe are written whole
    Given a writer of lines to a non-blocking pipe
    When 100 lines of 10000 bytes are written while the reader is slow
    Then the reader has 100 lines of 10000 bytes

  # Guards against two lines that run together after the disk was full.
  Scenario: After a line that was cut, the next one begins on a line of its own
    Given a writer of lines to a file that takes no more than 1500 bytes
    When 2 lines of 1000 bytes are written, and another when there is room
    Then the file has lines of 1000, 500 and 1000 bytes

  # Guards against a daemon that runs out of memory, as nobody reads its log.
  Scenario: The lines that wait for a blocked reader take a bounded amount of memory
    Given a log whose reader is blocked
    When 100 lines of 1000000 bytes are logged
    Then 4 of these lines are written when the reader is unblocked
    When 3 lines of 1000000 bytes are logged
    Then 7 of these lines are written when the reader is unblocked
