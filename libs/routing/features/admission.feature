Feature: Who is served, who waits and who is refused

  Scenario: An urgent request finds a place beside long patient ones
    Given a pool with 8 places and urgent callers
    When 100 patient requests arrive
    And an urgent request arrives
    Then the urgent request is admitted

  Scenario: Urgent requests leave the queue before patient ones
    Given a pool with 8 places and urgent callers
    When 100 patient requests arrive
    And 10 urgent requests arrive
    And a place becomes free
    Then an urgent request starts

  Scenario: Teams start requests in proportion to their weights
    Given a pool with 1 places and urgent callers
    When team "a" of weight 3 and team "b" of weight 1 queue 40 requests each
    And 40 places become free in turn
    Then team "a" has started 30 and team "b" 10

  Scenario: A burst of one team does not make another team wait
    Given a pool with 4 places and urgent callers
    When team "a" of weight 1 queues 200 requests
    And team "b" sends a request with 0.5 seconds left
    Then the request of team "b" is queued

  Scenario: A queued request is given up when it can no longer be met
    Given a pool with 1 places and urgent callers
    When a request is queued whose deadline is in 2 seconds
    Then it is given up after 1.9 seconds, with its deadline still to come

  Scenario: Requests that a smaller pool can't serve are given up at once
    Given a pool with 8 places and urgent callers
    When 100 urgent requests arrive
    And no endpoint is left
    Then all waiting requests are given up

  Scenario: Refused callers are told times as far apart as the pool serves
    Given a pool with 1 places and urgent callers
    When 200 urgent requests arrive
    Then those refused are told times at least 0.1 seconds apart

  Scenario: The cost of a decision does not grow with the teams that wait
    Then a decision looks at as many objects with 4 teams as with 400

  Scenario: The limit follows what the endpoints take
    Given a pool with 48 declared slots of which 20 exist
    When it is kept full for 400 service times
    Then the limit stays between 14 and 24
