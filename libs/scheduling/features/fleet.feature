Feature: Rebalancing of VMs among pools, and maintenance waves

  Scenario: A pool at the start of its peak gets VMs of the standby pool
    Given VMs "3 of a, 3 of b, 6 of off"
    And pool "a" wants 8 workers and needs at least 2
    And pool "b" wants 2 workers and needs at least 2
    When a rebalancing round runs
    Then 5 VMs of "off" move to "a"

  Scenario: Surplus VMs of another pool are drained for a pool that is short
    Given VMs "3 of a, 6 of b"
    And pool "a" wants 6 workers and needs at least 2
    And pool "b" wants 2 workers, needs at least 2, and "b1 b2 b3 b4" can be drained
    When a rebalancing round runs
    Then the VMs "b1 b2 b3 b4" are to be drained
    When they have been drained
    And a rebalancing round runs
    Then 3 VMs of "b" move to "a"

  # Guards against rounds that drain nothing, as the load is older than a drain.
  Scenario: Workers that are being drained do not take the place of others
    Given VMs "3 of a, 8 of b"
    And the VM "b0" is being drained for a move
    And the VM "b1" is being drained for a move
    And the VM "b2" is being drained for a move
    And pool "a" wants 9 workers and needs at least 2
    And pool "b" wants 2 workers, needs at least 2, and "b0 b1 b2 b3 b4 b5" can be drained
    When a rebalancing round runs
    Then the VMs "b3 b4 b5" are to be drained

  Scenario: The minimum of one pool precedes the peak of another
    Given VMs "6 of a, 1 of b, 1 of off"
    And pool "a" wants 20 workers and needs at least 2
    And pool "b" wants 2 workers and needs at least 2
    When a rebalancing round runs
    Then 1 VMs of "off" move to "b"

  Scenario: Surplus VMs are kept for a while, since the peak may come back
    Given VMs "6 of a, 2 of off"
    And pool "a" wants 6 workers and needs at least 2
    When a rebalancing round runs
    And pool "a" wants 2 workers, needs at least 2, and "a0 a1 a2 a3" can be drained
    And the clock advances by 1 s
    And a rebalancing round runs
    Then no VM is to be drained
    When the clock advances by 2 s
    And a rebalancing round runs
    Then the VMs "a0 a1 a2 a3" are to be drained

  # Guards against a peak that is missed since another pool keeps workers for
  # tasks that it merely expects.
  Scenario: Tasks that wait in one pool precede tasks expected in another
    Given VMs "4 of a, 9 of b"
    And pool "a" wants 9 workers and has tasks for 7
    And pool "b" wants 9 workers, has tasks for 3, and "b0 b1 b2 b3 b4 b5" can be drained
    When a rebalancing round runs
    Then the VMs "b0 b1 b2" are to be drained
    When a rebalancing round runs
    Then no VM is to be drained
    And no VM is reopened
    When they have been drained
    And a rebalancing round runs
    Then 3 VMs of "b" move to "a"

  Scenario: Pools that only expect tasks take no workers from each other
    Given VMs "4 of a, 9 of b"
    And pool "a" wants 9 workers and has tasks for 4
    And pool "b" wants 9 workers, has tasks for 3, and "b0 b1 b2 b3 b4 b5" can be drained
    When a rebalancing round runs
    Then no VM is to be drained

  Scenario: A pool whose load grows gets workers for the expected load
    Given VMs "4 of a, 20 of off"
    And pool "a" wants 2 workers and needs at least 2
    When a rebalancing round runs
    And pool "a" wants 6 workers and needs at least 2
    And the clock advances by 1 s
    And a rebalancing round runs
    Then 8 VMs of "off" move to "a"

  Scenario: A pool whose load falls gets no more workers
    Given VMs "4 of a, 20 of off"
    And pool "a" wants 6 workers and needs at least 2
    When a rebalancing round runs
    Then 2 VMs of "off" move to "a"
    When pool "a" wants 4 workers and needs at least 2
    And the clock advances by 1 s
    And a rebalancing round runs
    Then 0 VMs of "off" move to "a"

  Scenario: A drain is cancelled when the peak returns
    Given VMs "4 of a, 0 of off"
    And the VM "a1" is being drained for a move
    And pool "a" wants 4 workers and needs at least 2
    When a rebalancing round runs
    Then the VM "a1" is reopened

  Scenario: A wave takes no more VMs down than its cap
    Given VMs "6 of a, 6 of off"
    And a wave of "a0 a1 a2 a3 off0 off1 off2 off3" within 20 seconds, 3 at once
    When the wave runs for 30 seconds with workers that drain in 1 second
    Then at most 3 VMs were down at a time
    And every VM of the wave was maintained
    And the wave was complete within 20 seconds

  Scenario: A VM whose maintenance order got no answer counts as down
    Given VMs "0 of a, 6 of off"
    And a wave of "off0 off1 off2 off3 off4 off5" within 60 seconds, 2 at once
    And half of the orders get no answer
    When the wave runs for 60 seconds with workers that drain in 1 second
    Then at most 2 VMs were down at a time
    And every VM of the wave was maintained

  Scenario: A wave continues while owners change
    Given VMs "8 of a, 6 of off"
    And a wave of "a0 a1 a2 a3 a4 a5 off0 off1 off2" within 24 seconds, 3 at once
    And the owner changes every 3 seconds
    When the wave runs for 40 seconds with workers that drain in 1 second
    Then at most 3 VMs were down at a time
    And every VM of the wave was maintained
    And no VM was maintained twice
    And the wave was complete within 24 seconds

  # Guards against maintenance that never counts as done, since each owner counts
  # its duration anew.
  Scenario: VMs in standby are maintained although owners change faster
    Given VMs "2 of a, 6 of off"
    And a wave of "off0 off1 off2 off3" within 24 seconds, 2 at once
    And the owner changes every 1 seconds
    When the wave runs for 40 seconds with workers that drain in 1 second
    Then at most 2 VMs were down at a time
    And every VM of the wave was maintained
    And no VM was maintained twice
    And the wave was complete within 24 seconds

  # Guards against a wave that is late, since each owner counts its time anew.
  Scenario: A wave keeps to its time although owners change
    Given VMs "12 of a"
    And a wave of "a0 a1 a2 a3 a4 a5 a6 a7 a8 a9 a10 a11" within 20 seconds, 6 at once
    And the owner changes every 1 seconds
    When the wave runs for 60 seconds with workers that drain in 4 second
    Then at most 6 VMs were down at a time
    And every VM of the wave was maintained
    And the wave was complete within 20 seconds

  # Guards against more VMs down than the cap, as one whose row can't be read
  # counts as maintained, or as up.
  Scenario Outline: A VM whose row can not be read counts as down
    Given VMs "4 of a, 4 of off"
    And a wave of "a0 a1 off0 off1 off2" within 60 seconds, <cap> at once
    And rows of VMs in maintenance can not be read
    And half of the orders get no answer
    And the owner changes every <seconds> seconds
    When the wave runs for 60 seconds with workers that drain in 1 second
    Then at most <cap> VMs were down at a time
    And every VM of the wave was maintained
    And the wave was complete within 60 seconds

    Examples:
      | cap | seconds |
      | 1   | 5       |
      | 2   | 5       |
      | 2   | 1       |

  Scenario: A drain request for a former worker does not delay the wave
    Given VMs "3 of a, 0 of off"
    And a wave of "a0 a1" within 20 seconds, 1 at once
    And "a0" had a drain request of the wave for a former worker
    When the wave runs for 30 seconds with workers that drain in 1 second
    Then every VM of the wave was maintained
    And the wave was complete within 20 seconds

  Scenario: VMs that drain slowly are drained first
    Given VMs "6 of a, 0 of off"
    And pool "a" wants 3 workers, needs at least 3, and "a4 a5" run permanent tasks
    And a wave of "a0 a1 a2 a3 a4 a5" within 24 seconds, 2 at once
    When a round of the wave runs
    Then the first VM to be drained is "a4"

  Scenario: VMs that wait for their maintenance leave the standby pool last
    Given VMs "2 of a, 4 of off"
    And a wave of "off0 off1" within 24 seconds, 1 at once
    And pool "a" wants 4 workers and needs at least 2
    When a rebalancing round runs
    Then the VMs "off2 off3" move

  Scenario: A new owner waits before it sends orders for VMs of the former one
    Given VMs "2 of a, 2 of off"
    And the owner of term 5 sent orders for "a0" at 10 s and "a1" at 2 s
    Then for the owner of term 6 the VMs "a0" are reserved at 11 s
    And for the owner of term 6 the VMs "" are reserved at 17 s
    And for the owner of term 5 the VMs "" are reserved at 11 s

  # A new owner exceeded the cap while an order of the former one was under way.
  Scenario Outline: A VM that another owner may have ordered counts as down
    Given VMs "4 of off"
    And a wave of "off0 off1 off2 off3" within 24 seconds, 2 at once
    When a round of the wave runs while another owner's order for "<other>" is recent
    Then the maintenance of "<next>" is ordered

    Examples:
      | other | next |
      | off0  | off1 |
      | off3  | off0 |
