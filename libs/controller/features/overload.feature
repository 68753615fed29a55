Feature: A daemon that has less processor time than work

  # The own delay of an owner must not look like silence of its workers.
  Scenario Outline: Workers of an overloaded owner keep their leases
    Given a daemon that spends <cost> ms of processor time on each call to its <workers> workers
    When a job of 3600 tasks is submitted
    And 6 seconds pass
    Then no worker counted as silent and no lease lapsed

    Examples:
      | cost | workers |
      | 4    | 60      |
      | 3    | 100     |

  Scenario: Orders wait for each other, but not for unreachable workers
    Given a gate for 2 orders that hold it for 0.1 s at most
    When orders that take 0.02 0.4 0.02 0.4 0.02 s arrive together
    Then they are sent after 0 0 0.02 0.04 0.1 s

  # Each end of a task ends a poll, so a busy pool was polled without limit.
  Scenario: A busy pool is polled no more often than its ends have to be seen
    Given a daemon that spends 0.5 ms of processor time on each call to its 60 workers
    When a job of 3600 tasks is submitted
    And 6 seconds pass
    Then at most 400 polls a second were sent, and 90% of the ends were reported within 0.1 s

  Scenario Outline: Pauses between polls follow the load
    Given a budget of <share> of <cores> cores for polls that cost 0.5 ms each
    When <replies> workers with <lease> s left of their leases reply at once
    Then the next polls are sent after <first> to <last> s

    Examples:
      | share | cores | replies | lease | first | last  |
      | 0.1   | 1     | 1       | 3     | 0.015 | 0.015 |
      | 0.1   | 1     | 3       | 3     | 0.015 | 0.015 |
      | 0.1   | 1     | 11      | 3     | 0.015 | 0.05  |
      | 0.1   | 1     | 60      | 3     | 0.015 | 0.1   |
      | 0.5   | 1     | 60      | 3     | 0.015 | 0.059 |
      | 0.5   | 2     | 60      | 3     | 0.015 | 0.059 |
      | 0.5   | 0.6   | 60      | 3     | 0.015 | 0.098333 |
      | 0.1   | 1     | 60      | 1     | 0.015 | 0.015 |

  Scenario: A budget that was exceeded is free again after the longest pause
    Given a budget of 0.1 of 1 cores for polls that cost 0.5 ms each
    When 500 workers with 3 s left of their leases reply at once
    And 0.1 s later 1 workers with 3 s left of their leases reply at once
    Then the next polls are sent after 0.015 to 0.015 s

  # A reply that is handled late must not shorten the leases granted after it.
  Scenario Outline: Leases are as long as intended although a reply was handled late
    Given a worker that replied at 10 s with its clock at 5000 ms
    When a reply with its clock at <clock> ms is handled at 12 s
    And a lease of 3.5 s is granted at 12 s
    Then the lease expires between <first> and <last> ms on the worker's clock

    Examples:
      | clock | first | last  |
      | 7000  | 10500 | 10500 |
      | 6000  | 10450 | 10500 |
      | 6960  | 10460 | 10500 |
      | 7040  | 10540 | 10540 |

  Scenario: The clock of a new incarnation is not mixed up with the former one
    Given a worker that replied at 10 s with its clock at 5000 ms
    When a reply with its clock at 300 ms is handled at 12 s
    And a lease of 3.5 s is granted at 12 s
    Then the lease expires between 3800 and 3800 ms on the worker's clock

  Scenario: A lease that was granted long enough counts until it has surely run out
    Given a worker that replied at 10 s with its clock at 5000 ms
    When a reply with its clock at 6000 ms is handled at 12 s
    And a lease of 3.5 s is granted at 12 s
    Then it has not expired before 15.5 s

  # A line for each report of an end pushed the lines on owners out of the log.
  Scenario: The ends that one round sees are logged in one line
    Given a daemon that spends 0.5 ms of processor time on each call to its 60 workers
    When a job of 480 tasks is submitted
    And 4 seconds pass
    Then the log lists the ends of 480 tasks, each with its worker, in at most 200 lines

  # A daemon that gets its processor in slices needs more orders under way.
  Scenario: The number of orders under way follows the time that they take
    Given a limit of 16 to 256 orders that starts at 32
    When 10 orders are answered after 0.05 s with 31 under way
    Then 32 orders are allowed
    When 10 orders are answered after 0.05 s with 60 under way
    Then 42 orders are allowed
    When 20 orders are answered after 0.3 s with 42 under way
    Then 29 orders are allowed
    When 20 orders are answered after 0.3 s with 29 under way
    Then 20 orders are allowed
    When 1 orders are answered after 0.3 s with 20 under way
    And 1 orders are answered after 0.3 s with 16 under way
    Then 16 orders are allowed
    When 500 orders are answered after 0.1 s with 300 under way
    Then 256 orders are allowed

  # Orders that were admitted one a pass left a throttled processor idle.
  Scenario: Orders are admitted together, however long the event loop takes
    Given a gate for 16 orders that hold it for 1 s at most
    When 40 orders arrive while each pass of the event loop takes 0.1 s
    Then 16 orders are admitted within 0.1 s and all within 1 s

  # Guards against tasks that hold their workers for seconds before they start,
  # while the jobs that were accepted first and the workers wait.
  Scenario Outline: An owner places no more tasks than it can start soon
    Given a daemon that spends <cost> ms of processor time on each call to its <workers> workers
    When a job of 3600 tasks is submitted
    And 6 seconds pass
    Then <starts> tasks or more have started, and those placed wait no longer than 1 s

    Examples:
      | cost | workers | starts |
      | 5    | 60      | 500    |
      | 10   | 30      | 250    |

  # Guards against an urgent job that waits for the orders of all tasks before it.
  Scenario: An urgent job starts soon though its owner has a backlog
    Given a daemon that spends 5 ms of processor time on each call to its 60 workers
    When a job of 3600 tasks is submitted
    And 4 seconds pass
    And a job of 4 tasks is submitted to the urgent queue
    And 2 seconds pass
    Then the tasks of the urgent job have started

  # Guards against a limit on starts that slows down an owner with processor time.
  Scenario: An owner with enough processor time starts a peak at once
    Given a daemon that spends 0.1 ms of processor time on each call to its 60 workers
    When a job of 400 tasks is submitted
    And 1 seconds pass
    Then 400 tasks have started

  # Guards against starts that wait for orders to workers which do not answer.
  Scenario: Orders to silent workers do not use up the starts of the others
    Given a daemon that spends 0.1 ms of processor time on each call to its 60 workers
    When 30 workers stop to answer
    And a job of 200 tasks is submitted
    And 2 seconds pass
    Then 200 tasks have started
