Feature: Calls to the placement policy service

  # Guards against starts without a ticket, which are refused.
  Scenario: Tasks of a queue with advice start with tickets
    Given 2 daemons and 4 workers with a placement policy service
    When 3 jobs of 4 tasks are submitted to the queue with advice
    And 5 seconds pass
    Then the jobs are completed and no start was refused
    And the log has a line on the state of the advice at most every 5 s

  # Guards against a successor that relies on tickets it does not have.
  Scenario: The next owner asks for tickets again
    Given 2 daemons and 4 workers with a placement policy service
    When the service falls silent
    And 3 jobs of 4 tasks are submitted to the queue with advice
    And 1 seconds pass
    And the owner of the pool is killed
    And the service answers again
    And 8 seconds pass
    Then the jobs are completed and no start was refused

  # Guards against a silent service that delays tasks of other queues.
  Scenario: Other queues are served while the service is silent
    Given 2 daemons and 4 workers with a placement policy service
    When the service falls silent
    And 3 jobs of 4 tasks are submitted to the queue with advice
    And a job of 4 tasks is submitted
    And 2 seconds pass
    Then only the tasks of the other queue have started and are done

  # Deployments without such queues must send what they did.
  Scenario: Without a job on a queue with advice nothing is asked or sent
    Given 2 daemons and 4 workers with a placement policy service
    When a job of 4 tasks is submitted
    And 2 seconds pass
    Then the service was not called and no start carried a ticket

  Scenario: Without a placement policy service starts carry no ticket
    Given 2 daemons and 4 workers with a queue with advice but no service
    When 1 jobs of 4 tasks are submitted to the queue with advice
    And 2 seconds pass
    Then starts were refused and no start carried a ticket
