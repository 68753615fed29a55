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

  # Guards against an owner that fails in each of its terms, and a count of
  # pending jobs that is never answered, because of one job's record.
  Scenario: Odd records of a job affect no other job of its partition
    Given the records of a job, and odd ones about other jobs
    Then the partition's jobs are counted, shown and scheduled, that job too

  # Guards against a pool whose need of workers nobody can read, as the sum of
  # what its jobs demand is out of range.
  Scenario: Jobs that demand more than any pool has do not hide their pool's need
    Given 40 jobs of 2000 tasks that demand 9007199254740991 millicores
    Then the fleet's owner can read how many workers their pool needs

  # Guards against starts with an attempt number that no worker can read, or that
  # counts as none.
  Scenario Outline: A job whose progress has a number out of range is left out
    Given the stored progress of a task, where <name> is <value>
    Then no owner schedules its job

    Examples:
      | name             | value                |
      | attempt          | -1                   |
      | attempt          | 9007199254740992     |
      | attempt          | 18446744073709551616 |
      | failed_attempts  | -1                   |
      | crashed_attempts | 9007199254740992     |
      | crash_points     | -1                   |
      | excused_attempts | -1                   |
      | incarnation      | 18446744073709551616 |

  # Guards against an owner that fails in each of its terms, or takes the lease
  # of a silent worker to be over, because of one record.
  Scenario: Odd records on lease bounds and caps are left out, the others count
    Given records on a lease bound and on the cap of a tenant
    Then each is in force among any odd ones

  # Guards against a task that is stopped, and runs twice, as the row of a report
  # that lists it can't be read.
  Scenario: What an incomplete report does not list may run
    Given an owner whose task runs on a worker
    When 3 incomplete reports don't list it
    Then no stop order is sent
    When 1 complete reports don't list it
    Then a stop order is sent
