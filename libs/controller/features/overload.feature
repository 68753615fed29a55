Feature: A daemon that has less processor time than work

  # The own delay of an owner must not look like silence of its workers.
  Scenario: Workers of an overloaded owner keep their leases
    Given a daemon that spends 3 ms of processor time on each call to its 60 workers
    When a job of 2400 tasks is submitted
    And 6 seconds pass
    Then no worker counted as silent and no lease lapsed

  Scenario: Orders wait for each other, but not for unreachable workers
    Given a gate for 2 orders that hold it for 0.1 s at most
    When orders that take 0.02 0.4 0.02 0.4 0.02 s arrive together
    Then they are sent after 0 0 0.02 0.04 0.1 s
