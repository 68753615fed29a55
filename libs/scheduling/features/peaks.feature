Feature: Peaks of several seconds that come to one pool after the other

  # Guards against a peak that waits for VMs which the last one no longer needs.
  Scenario Outline: VMs follow the peaks
    Given 125 VMs and four pools whose peaks of 9 s come in turn, with seed <seed>
    When the pools run for 36 seconds
    Then no VM was idle for over 2 s in a pool with enough VMs while another lacked some
    And each pool earned at least 48% of the worth of its jobs

    Examples:
      | seed |
      | 1    |
      | 2    |

  # Guards against VMs that are on their way to standby, for two moves, when the
  # next peak begins.
  Scenario Outline: VMs of the last peak wait for the next one before they go to standby
    Given 125 VMs and four pools whose peaks of 9 s come in turn, with seed <seed>
    When the pools run for 36 seconds, with and without a delay of one move
    Then with the delay the pool that earned least earns more, with fewer moves

    Examples:
      | seed |
      | 1    |
      | 2    |

  Scenario: Without a pool that lacks workers, drained VMs go to standby after the delay
    Given 125 VMs and four pools whose peaks of 9 s come in turn, with seed 1
    When a peak of one pool is over for longer than the delay
    Then all VMs but the minimum of each pool are in standby
