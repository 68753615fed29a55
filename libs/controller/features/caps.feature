Feature: Shares of tenants' caps

  # Guards against LOST: the pool of another owner keeps a share that it does
  # not need.
  Scenario: A share moves to the owner that lacks room
    Given 3 daemons with the pools "pool a b" and a tenant with a cap of 3000
    When 6 tasks of the tenant are handed in to pool "a"
    Then within 0.6 seconds 6 of its tasks run
    And at no time more than 6 of its tasks ran

  # Guards against QUOTA: a successor that grants what was lowered, and not yet
  # confirmed, to another owner.
  Scenario: The fleet owner is killed between lowering and raising
    Given 4 daemons with the pools "pool a b" and a tenant with a cap of 3000
    When the owner of pool "b" can not report
    And 6 tasks of the tenant are handed in to pool "a"
    And the fleet owner is killed after it has lowered a share
    And the owner of pool "b" can report again
    Then within 6 seconds 6 of its tasks have started
    And at no time more than 6 of its tasks ran

  # Guards against QUOTA: a successor that counts only what it has started.
  Scenario: An owner that takes over counts what runs
    Given 4 daemons with the pools "pool a b" and a tenant with a cap of 3000
    When tasks last 8 seconds
    And 12 tasks of the tenant are handed in to pool "a"
    And 1 seconds of the pools pass
    And the owner of pool "a" is killed
    And 5 seconds of the pools pass
    Then 6 of its tasks run
    And at no time more than 6 of its tasks ran

  # Guards against additional messages of deployments without tenants.
  Scenario Outline: Without caps nothing is written or read
    Given 3 daemons with the pools "pool a b" and <tenants>
    When 6 tasks of the tenant are handed in to pool "a"
    And 2 seconds of the pools pass
    Then the topic of tenants was never read and is empty

    Examples:
      | tenants              |
      | no tenants           |
      | a tenant without cap |

  # Guards against messages while every owner has what it needs.
  Scenario: While every owner has what it needs nothing is written
    Given 3 daemons with the pools "pool a b" and a tenant with a cap of 3000
    When 2 tasks of the tenant are handed in to pool "a"
    And 3 seconds of the pools pass
    Then no record was stored after the first grants

  # Guards against memory that grows with each term while nothing changes.
  Scenario: The subscriptions of ended terms are not kept
    Given a feed of records on caps
    When 100 owners subscribe and end, one after the other
    Then at most 1 subscription is kept
