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
