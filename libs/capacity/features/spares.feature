Feature: Spares between pools

  Scenario: The plan has the least weighted sum
    When plans are made for any pools, spares and weights
    Then none of all possible choices weighs less

  Scenario: Buffer cost decides against borrowing, roll-out time for it
    Given a pool of 6 VMs with a peak of 5 and a spare
    Then 1 VM is away and 0 are borrowed if buffer cost weighs 5
    And 2 VMs are away and 1 is borrowed if roll-out time weighs 5
