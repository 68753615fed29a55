Feature: Admission control

  Scenario: An urgent request is admitted although long patient ones run
    Given a pool with 8 permits and urgent callers
    When 100 patient requests arrive
    And an urgent request arrives
    Then the urgent request is admitted

  Scenario: Queued urgent requests start before patient ones
    Given a pool with 8 permits and urgent callers
    When 100 patient requests arrive
    And 10 urgent requests arrive
    And a permit becomes free
    Then an urgent request starts

  Scenario: Teams start requests in proportion to their weights
    Given a pool with 1 permits and urgent callers
    When team "a" of weight 3 and team "b" of weight 1 queue 40 requests each
    And 40 permits become free in turn
    Then team "a" has started 30 and team "b" 10

  Scenario: A burst of one team does not make another team wait
    Given a pool with 4 permits and urgent callers
    When team "a" of weight 1 queues 200 requests
    And team "b" sends a request with 0.5 seconds left
    Then the request of team "b" is queued

  Scenario: A queued request is dropped once it can not meet its deadline
    Given a pool with 1 permits and urgent callers
    When a request is queued whose deadline is in 2 seconds
    Then it is dropped after 1.9 seconds, before its deadline

  Scenario: Requests that a smaller pool can't serve are dropped at once
    Given a pool with 8 permits and urgent callers
    When 100 urgent requests arrive
    And no endpoint is left
    Then all queued requests are dropped

  Scenario: The retry times of refused callers are spread
    Given a pool with 1 permits and urgent callers
    When 200 urgent requests arrive
    Then their retry times are at least 0.1 seconds apart

  Scenario: The cost of a decision does not grow with the queued teams
    Then a decision takes as many calls with 4 teams as with 400

  Scenario: The concurrency limit follows the capacity of the endpoints
    Given a limit of 48 declared slots of which 20 exist
    When it is kept full for 400 service times
    Then the limit stays between 14 and 24
