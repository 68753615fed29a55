Feature: Stored records that another program wrote, or an odd version of our own

  # Guards against a daemon that ends, and ends again after each restart, as it
  # reads a record of the fleet partition with an odd value.
  Scenario: Odd records of the fleet partition are left out, the others count
    Given records of the fleet partition
    Then each is in force among any odd ones, and decisions can rest on them
