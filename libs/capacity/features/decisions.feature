Feature: Decisions on capacity under failure

  Scenario: No promise is broken and everything comes to an end
    When planners run over a platform that fails at random
    Then no invariant was broken
