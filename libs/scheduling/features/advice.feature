Feature: Tickets for queues with advice

  # Guards against asking for so many workers a step that a load of many steps
  # is served one long call after the other.
  Scenario: 40 steps of 4 tasks become ready at once on 40 workers
    Given 40 workers with 4000 millicores
    When 40 jobs of 4 tasks are submitted
    And 6 seconds pass
    Then all tasks have started and no start was refused
    And a call named at most 4 workers

  # Guards against a step that waits for a call once its prerequisites are done.
  Scenario: A step starts in the round in which it becomes ready
    Given 20 workers with 4000 millicores
    When 4 jobs of 4 tasks followed by 6 tasks are submitted
    And 4 seconds pass
    Then all tasks have started and no start was refused
    And every second step started in the round in which it became ready

  # Guards against tickets that expire while a step has no room, so that it waits
  # for a call when there is some.
  Scenario: Tickets are renewed while 8 long tasks occupy the pool
    Given 4 workers with 2000 millicores
    And 8 tasks of 8 seconds that need no ticket
    When 1 jobs of 4 tasks are submitted
    And 8.8 seconds pass
    Then all tasks have started and no start was refused
    And the tasks started within 0.05 seconds of room
    And at most 12 calls were made

  Scenario Outline: Only the queue concerned waits while the service is <mode>
    Given 4 workers with 2000 millicores
    And the service is <mode>
    When 2 jobs of 4 tasks are submitted
    And a permanent task of the queue with advice waits
    And 6 tasks are submitted that need no ticket
    And 3 seconds pass
    Then the 6 tasks have started within 0.05 seconds
    And no task of the queue with advice has started
    And at most <calls> calls were made
    When the service is good
    And 6 seconds pass
    Then all tasks have started and no start was refused

    Examples:
      | mode     | calls |
      | slow     | 8     |
      | silent   | 8     |
      | refusing | 12    |
      | unknown  | 12    |
      | twice    | 12    |
      | empty    | 12    |
      | expired  | 12    |
      | negative | 12    |

  # Guards against a ticket of the former incarnation, which is refused.
  Scenario: A worker restarts under the same id
    Given 1 workers with 4000 millicores
    When 1 jobs of 4 tasks followed by 4 tasks are submitted
    And 0.5 seconds pass
    And worker "w0" restarts
    And 6 seconds pass
    Then all tasks have started
    And at most 1 starts were refused

  # Guards against a retry with the refused ticket, every 0.3 s for its validity.
  Scenario: A ticket that the service has withdrawn is asked for again
    Given 2 workers with 4000 millicores
    When 1 jobs of 2 tasks followed by 2 tasks are submitted
    And 0.8 seconds pass
    And the service withdraws all tickets
    And 2 seconds pass
    Then all tasks have started
    And at most 2 starts were refused

  # Guards against a new owner that starts tasks without tickets, or never asks.
  Scenario: A new owner asks for tickets again
    Given 8 workers with 4000 millicores
    When 4 jobs of 4 tasks followed by 4 tasks are submitted
    And 0.8 seconds pass
    And an owner without tickets takes over
    And 4 seconds pass
    Then all tasks have started and no start was refused

  # Guards against a step that waits for ever as nobody new is asked about.
  Scenario: The only allowed worker joins later
    Given 3 workers with 4000 millicores
    And no worker may run the first job
    When 1 jobs of 2 tasks are submitted
    And 3 seconds pass
    Then at most 3 calls were made
    When worker "w9" joins the pool
    And 1 seconds pass
    Then all tasks have started and no start was refused

  # Guards against a gang that starts on some of its workers only.
  Scenario: A gang starts once it has tickets for all its workers
    Given 6 workers with 1000 millicores
    And the workers "w0 w1" may not run the first job
    When a gang of 4 tasks is submitted
    And 3 seconds pass
    Then all tasks have started and no start was refused
    And the gang started in one round

  # Guards against starts that arrive with a ticket that has just expired.
  Scenario: A ticket counts from when its call was sent, less a margin
    Then a ticket for 3 s of a call sent at 10 s counts at 12.79 s, not at 12.81 s

  Scenario: No call is made without a queue with advice
    Given 4 workers with 2000 millicores and no queue with advice
    When 6 tasks are submitted that need no ticket
    And 3 seconds pass
    Then at most 0 calls were made

  # Bounds: 100 workers a call, one call a queue, 8 in all, no worker asked about
  # again that the service has not listed.  30 random fleets of up to 12 queues.
  Scenario: Calls never exceed their bounds, whatever the service answers
    When random fleets run with random answers
    Then every job has started its tasks at the end
