Feature: Distribution of spares over pools

  Scenario: The plan has the lowest weighted sum
    When plans are made for any pools, spares and weights
    Then no possible choice has a lower weighted sum

  Scenario: A high buffer cost avoids borrowing, a high roll-out cost uses it
    Given a pool of 6 VMs with a peak of 5 and a spare
    Then 1 VM at once and 0 spares are planned if buffer cost weighs 5
    And 2 VMs at once and 1 spare are planned if roll-out time weighs 5
