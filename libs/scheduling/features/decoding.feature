Feature: Stored records that another program wrote, or an odd version of our own

  # Guards against a daemon that ends, and ends again after each restart, as it
  # reads a record of the fleet partition with an odd value.
  Scenario: Odd records of the fleet partition are left out, the others count
    Given records of the fleet partition
    Then each is in force among any odd ones, and decisions can rest on them

  # Guards against daemons that are never ready, as they wait for records of a
  # partition that does not exist.
  Scenario Outline: A pool is not assigned to a partition that can't have one
    Given a fleet state for the partitions 1 to 11
    When a record assigns the pool "strike" to partition <partition>
    Then the pool "strike" has <found>

    Examples:
      | partition  | found        |
      | 3          | partition 3  |
      | 0          | no partition |
      | 12         | no partition |
      | -1         | no partition |
      | 1000000000 | no partition |
