Feature: Capacity decisions under failures

  Scenario: All invariants hold and all jobs, charges and waves end
    When planners run on a platform with random failures
    Then no invariant was violated
