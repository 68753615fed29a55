Feature: The request router keeps its invariants under any events

  Scenario: Random event streams
    Then 200 random streams of 40 events violate no invariant
