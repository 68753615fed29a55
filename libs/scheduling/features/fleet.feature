Feature: VMs go where they are needed, and have their maintenance

  Scenario: A pool whose peak begins gets the VMs of the standby pool
    Given VMs "3 of a, 3 of b, 6 of off"
    And pool "a" wants 8 workers and has a floor of 2
    And pool "b" wants 2 workers and has a floor of 2
    When the lender decides
    Then 5 VMs of "off" move to "a"

  Scenario: Idle VMs of other pools are closed for a pool that lacks workers
    Given VMs "3 of a, 6 of b"
    And pool "a" wants 6 workers and has a floor of 2
    And pool "b" wants 2 workers, has a floor of 2, and "b1 b2 b3 b4" are idle
    When the lender decides
    Then the VMs "b1 b2 b3 b4" are closed
    When they are handed over empty
    And the lender decides
    Then 3 VMs of "b" move to "a"

  Scenario: The floor of a pool goes before the peak of another
    Given VMs "6 of a, 1 of b, 1 of off"
    And pool "a" wants 20 workers and has a floor of 2
    And pool "b" wants 2 workers and has a floor of 2
    When the lender decides
    Then 1 VMs of "off" move to "b"

  Scenario: Idle VMs are kept for as long as a peak may come back
    Given VMs "6 of a, 2 of off"
    And pool "a" wants 6 workers and has a floor of 2
    When the lender decides
    And pool "a" wants 2 workers, has a floor of 2, and "a0 a1 a2 a3" are idle
    And the clock goes on by 1 s
    And the lender decides
    Then no VM is closed
    When the clock goes on by 2 s
    And the lender decides
    Then the VMs "a0 a1 a2 a3" are closed

  Scenario: A pool whose load grows gets workers for what comes next
    Given VMs "4 of a, 20 of off"
    And pool "a" wants 2 workers and has a floor of 2
    When the lender decides
    And pool "a" wants 6 workers and has a floor of 2
    And the clock goes on by 1 s
    And the lender decides
    Then 8 VMs of "off" move to "a"

  Scenario: A pool whose load falls gets none
    Given VMs "4 of a, 20 of off"
    And pool "a" wants 6 workers and has a floor of 2
    When the lender decides
    Then 2 VMs of "off" move to "a"
    When pool "a" wants 4 workers and has a floor of 2
    And the clock goes on by 1 s
    And the lender decides
    Then 0 VMs of "off" move to "a"

  Scenario: A closing is taken back when the peak returns
    Given VMs "4 of a, 0 of off"
    And the VM "a1" is closed for lending
    And pool "a" wants 4 workers and has a floor of 2
    When the lender decides
    Then the VM "a1" is opened again

  Scenario: A wave takes no more VMs down than its cap
    Given VMs "6 of a, 6 of off"
    And a wave of "a0 a1 a2 a3 off0 off1 off2 off3" within 20 seconds, 3 at once
    When the wave runs for 30 seconds with workers that are emptied in 1 second
    Then at most 3 VMs were down at a time
    And every VM of the wave had its maintenance
    And the wave was complete within 20 seconds

  Scenario: A maintenance order without answer still counts as down
    Given VMs "0 of a, 6 of off"
    And a wave of "off0 off1 off2 off3 off4 off5" within 60 seconds, 2 at once
    And half of the orders get no answer
    When the wave runs for 60 seconds with workers that are emptied in 1 second
    Then at most 2 VMs were down at a time
    And every VM of the wave had its maintenance

  Scenario: A wave is carried on by one owner after the other
    Given VMs "8 of a, 6 of off"
    And a wave of "a0 a1 a2 a3 a4 a5 off0 off1 off2" within 24 seconds, 3 at once
    And the owner changes every 3 seconds
    When the wave runs for 40 seconds with workers that are emptied in 1 second
    Then at most 3 VMs were down at a time
    And every VM of the wave had its maintenance
    And no VM had it twice
    And the wave was complete within 24 seconds

  Scenario: A closing that outlived its worker does not hold up the wave
    Given VMs "3 of a, 0 of off"
    And a wave of "a0 a1" within 20 seconds, 1 at once
    And "a0" was closed for the wave when it had another worker
    When the wave runs for 30 seconds with workers that are emptied in 1 second
    Then every VM of the wave had its maintenance
    And the wave was complete within 20 seconds

  Scenario: VMs that are slow to empty begin first
    Given VMs "6 of a, 0 of off"
    And pool "a" wants 3 workers, has a floor of 3, and "a4 a5" hold permanent tasks
    And a wave of "a0 a1 a2 a3 a4 a5" within 24 seconds, 2 at once
    When the wave is decided on
    Then the first VM to be closed is "a4"

  Scenario: VMs that wait for their maintenance in the standby pool stay there
    Given VMs "2 of a, 4 of off"
    And a wave of "off0 off1" within 24 seconds, 1 at once
    And pool "a" wants 4 workers and has a floor of 2
    When the lender decides
    Then the VMs "off2 off3" move

  Scenario: A new owner leaves VMs alone that the former one has just ordered
    Given VMs "2 of a, 2 of off"
    And the owner of term 5 ordered something for "a0" at 10 s and "a1" at 2 s
    Then for the owner of term 6 the VMs "a0" are taken at 11 s
    And for the owner of term 6 the VMs "" are taken at 17 s
    And for the owner of term 5 the VMs "" are taken at 11 s
