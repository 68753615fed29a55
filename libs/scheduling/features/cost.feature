Feature: Cost of scheduling rounds

  # At a peak an owner spent its processor time on rounds that found no room.
  Scenario Outline: A round of a full pool costs little more in a large pool
    Given a full pool of 30 workers with 30 jobs
    And a full pool of <workers> workers with <jobs> jobs
    When 20 rounds run in each pool
    Then those of the second pool make at most 4 times the calls of the first

    Examples:
      | workers | jobs |
      | 60      | 60   |
      | 180     | 180  |
      | 180     | 400  |

  # Reservations are checked in each round, and held workers in each search.
  Scenario: A round that looks ahead makes at most 1.5 times as many calls
    Given a full pool of 40 workers with 400 jobs
    And the same pool with placement that looks ahead
    When 20 rounds run in each pool
    Then those of the second pool make at most 1.5 times the calls of the first

  # Each placement of a task looked at every worker of the pool.
  Scenario: Filling a pool takes about the same effort for each task
    Given an empty pool of 30 workers with 30 jobs
    And an empty pool of 180 workers with 180 jobs
    When 1 rounds run in each pool
    Then those of the second pool make at most 8 times the calls of the first
