Feature: Assignment of pools to partitions

  Scenario: The heaviest pools get partitions of their own
    Given partitions "1 2 3"
    When the pools "a=2 b=9 c=8 d=1" are assigned
    Then the partitions are "a=3 b=1 c=2 d=3"

  Scenario: A known pool keeps its partition
    Given partitions "1 2"
    When the pools "a=2 b=3" are assigned
    And the pools "a=40 b=3 c=1" are assigned
    Then the partitions are "a=2 b=1 c=1"

  Scenario: Many pools share partitions by weight
    Given partitions "1 2 3 4 5 6 7 8 9 10 11"
    When 72 pools of random weights are assigned
    Then no partition has more than its share and one pool

  Scenario: The weight of a pool is the workers that it has or could use
    Given 3 VMs of pool "a", and a load of pool "b" that wants 5 workers
    Then the weights are "a=3 b=5"
