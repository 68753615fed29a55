Feature: Capacity decisions under failures

  Scenario: All invariants hold and all jobs, charges and waves end
    When planners run on a platform with random failures
    Then no invariant was violated

  # Guards against a wave that never ends, since none of its VMs is drained once a
  # budget is lower than the number of VMs that are already charged.
  Scenario: A wave ends although a budget is lowered below its charges
    Given a wave that has charged 3 VMs under a budget of 3
    When the budget is lowered to 2
    Then everything ends, with at most 2 VMs unavailable at each drain
