Feature: Caps of tenants

  # Guards against QUOTA: no start may bring a tenant above its cap, whatever
  # fails, and against LOST: accepted tasks must all run in the end.
  Scenario: Owners that fail in any order never exceed a cap and lose no task
    When owners fail, freeze, wake and change in 150 random ways
    Then no start ever exceeded the highest cap in force
    And all tasks have run in the end

  # Guards against LOST: unused shares of other partitions kept an owner idle.
  Scenario: A share that lies unused moves within two exchanges
    Given 5 partitions and a tenant with a cap of 1000
    When 8 tasks of 100 wait in partition 2
    Then 0.35 seconds later 800 are in use

  # Guards against LOST: the shares of owners that do not answer were waited for,
  # while those of others lay unused.
  Scenario: Owners that do not answer keep no unused share of others away
    Given 5 partitions and a tenant with a cap of 1000
    When the owners of partitions 4 and 5 are cut off
    And 1 tasks of 210 wait in partition 2
    Then 1.5 seconds later 210 are in use

  # Guards against LOST: a late record replaced the newest report, and what it
  # said about use above the share held for ever.
  Scenario: An owner is asked again whether it uses more than its share
    Given 2 partitions and a tenant with a cap of 1000
    When 10 tasks of 100 that last 2 seconds wait in partition 1
    And 1 seconds of rounds pass
    And 1 tasks of 600 wait in partition 2
    And 1 seconds of rounds pass
    And all records on caps are lost for 1 second
    Then 3 seconds later all tasks have run

  # Guards against two owners that take a share from each other for ever.
  Scenario: Owners that all want the whole cap share it without moves
    Given 5 partitions and a tenant with a cap of 1000
    When 60 tasks of 100 wait in each partition
    And 3 seconds of rounds pass
    Then in 2 more seconds at most 5 grants are stored

  # Guards against starvation: five shares of which none holds one task.
  Scenario: Owners whose tasks need most of the cap take turns
    Given 5 partitions and a tenant with a cap of 1000
    When 2 tasks of 700 wait in each partition
    Then 25 seconds later all tasks have run

  # Guards against a tenant that never runs, as its cap is below one task.
  Scenario: A tenant whose cap is below one task runs one task at a time
    Given 3 partitions and a tenant with a cap of 500
    When 2 tasks of 700 wait in each partition
    Then 20 seconds later all tasks have run
    And at most one task ran at a time

  # Guards against tasks within the cap that start beside one that exceeds it, as
  # seed 901 of the fault soak with tenants did (2,500 in use with a cap of 1,500).
  Scenario: Beside a task that is larger than the cap nothing else starts
    Given 3 partitions and a tenant with a cap of 500
    When 2 tasks of 700 wait in partition 1
    And 6 tasks of 100 wait in partition 2
    And 6 tasks of 100 wait in partition 3
    Then 40 seconds later all tasks have run
    And no start ever exceeded the highest cap in force

  # Guards against a first grant that takes for granted that a partition uses no
  # more than its even part: its owner can't say so while it is cut off.
  Scenario: A first cap counts what ran before there was one
    Given 2 partitions and a tenant with a cap of 0
    When 9 tasks of 100 that last 20 seconds wait in partition 1
    And 1 seconds of rounds pass
    And the owners of partitions 1 and 1 are cut off
    And the cap is raised to 1000
    And 4 seconds of rounds pass
    And 6 tasks of 100 wait in partition 2
    And 3 seconds of rounds pass
    Then no start ever exceeded the highest cap in force

  # Guards against a successor that counts only what it starts itself.
  Scenario: A takeover counts what runs from before
    Given 2 partitions and a tenant with a cap of 1000
    When 10 tasks of 100 that last 10 seconds wait in partition 1
    And 2 seconds of rounds pass
    And partition 1 is taken over
    And 5 tasks of 100 wait in partition 1
    And 3 seconds of rounds pass
    Then 1000 are in use and 5 tasks wait

  # Guards against QUOTA: a former owner confirms a grant that its successor has
  # not read, and the successor uses the share that was before.
  Scenario: What a former owner confirms does not bind its successor
    Given 2 partitions and a tenant with a cap of 1000
    When partition 1 is taken over by an owner that reads nothing more
    And 8 tasks of 100 that last 10 seconds wait in partition 2
    And 1 seconds of rounds pass
    And 5 tasks of 100 that last 10 seconds wait in partition 1
    And 1 seconds of rounds pass
    Then 1000 are in use and 3 tasks wait

  # The same, while the successor has not told others that its term has begun.
  Scenario: A successor starts nothing before the record of its term is read
    Given 2 partitions and a tenant with a cap of 1000
    When the record of its term is stored late
    And 8 tasks of 100 that last 10 seconds wait in partition 2
    And 1 seconds of rounds pass
    And 5 tasks of 100 that last 10 seconds wait in partition 1
    And 4 seconds of rounds pass
    Then 1000 are in use and 3 tasks wait

  # Guards against starts after a reduction, while what ran before fills the cap.
  Scenario: When a cap is reduced nothing more starts until there is room
    Given 2 partitions and a tenant with a cap of 1000
    When 5 tasks of 100 that last 10 seconds wait in partition 1
    And 2 seconds of rounds pass
    And the cap is reduced to 500
    And 1 seconds of rounds pass
    And 5 tasks of 100 wait in partition 2
    And 5 seconds of rounds pass
    Then 500 are in use and 5 tasks wait
    And 10 seconds later all tasks have run

  # Guards against starts by the former cap while there is no fleet owner.
  Scenario: Owners scale their shares when a cap is reduced
    Given 2 partitions and a tenant with a cap of 1000
    When the fleet owner is cut off
    And the cap is reduced to 500
    And 5 tasks of 100 that last 3 seconds wait in partition 2
    And 1 seconds of rounds pass
    Then 200 are in use and 3 tasks wait
    And 5 seconds of rounds pass
    And 0 are in use and 3 tasks wait

  # Guards against LOST: at the second reduction an owner took the time of the
  # first one, and started nothing until there was a fleet owner.
  Scenario: Owners scale their shares at each reduction of a cap
    Given 2 partitions and a tenant with a cap of 1000
    When the fleet owner is cut off
    And the cap is reduced to 900
    And 1 tasks of 100 wait in partition 2
    And 2 seconds of rounds pass
    And the fleet owner is back
    And 10 seconds of rounds pass
    And the fleet owner is cut off
    And the cap is reduced to 800
    And 1 tasks of 100 wait in partition 2
    Then 0.5 seconds later 100 are in use

  # Guards against QUOTA: the time of a reduction began with the first task after
  # it, however long ago the former cap had ceased to count.
  Scenario: An owner without tasks notes when a cap is reduced
    Given 2 partitions and a tenant with a cap of 1000
    When 5 tasks of 100 that last 20 seconds wait in partition 1
    And 1 seconds of rounds pass
    And the fleet owner is cut off
    And the cap is reduced to 500
    And 4 seconds of rounds pass
    And 4 tasks of 100 wait in partition 2
    And 1 seconds of rounds pass
    Then 500 are in use and 4 tasks wait

  # Guards against LOST: a grant for a raised cap was taken for one from before
  # the last reduction.
  Scenario: A reduction that was carried out does not count again
    Given 2 partitions and a tenant with a cap of 1000
    When the cap is reduced to 800
    And 1 tasks of 100 wait in partition 2
    And 1 seconds of rounds pass
    And 1 tasks of 100 wait in partition 2
    And 9 seconds of rounds pass
    And all owners of pools read no further configuration
    And the cap is raised to 1000
    And 1 seconds of rounds pass
    And 1 tasks of 100 wait in partition 2
    Then 0.5 seconds later 100 are in use

  # Guards against LOST: the accepted jobs of a removed tenant go on.
  Scenario: A tenant that is no longer listed keeps its last cap
    Given 2 partitions and a tenant with a cap of 1000
    When the tenant is removed from the configuration
    And 20 tasks of 100 wait in partition 1
    And partition 1 is taken over
    Then 0.6 seconds later 1000 are in use

  # Guards against rounds whose cost grows with the number of tenants.
  Scenario: 400 tenants and 72 partitions cost little more than 20 tenants
    Given 72 partitions and 400 tenants that take turns in being active
    When they run for 2 seconds
    Then no start ever exceeded the highest cap in force
    And a round costs at most 2 times that with 20 tenants

  Scenario: Records are read as they were written
    When grants and reports are written and read in 100 random ways
    Then they are equal

  # Guards against a former owner whose late report frees a share in use.
  Scenario Outline: A late report of a former owner is ignored
    Given an index that has read the term 2 of partition 1 <how>
    When a report of term 1 is read
    Then the index holds no report

    Examples:
      | how           |
      | in a log      |
      | in a snapshot |

  # Guards against an owner that fails in each of its terms, once a tenant's job
  # has tasks whose demand is 0.
  Scenario: Tasks of a tenant that occupy nothing end one by one
    Given an owner with a worker and a job of 2 tasks that demand nothing
    When both tasks end
    Then the job of the tenant is complete
    And the tenant occupies 0

  # Guards against attempts that run and are not counted.
  Scenario: Copies, orphans and scavenging tasks count until they are over
    Given an owner with 2 workers and a job of 2 scavenging tasks of 500
    Then the tenant occupies 1000
    When the worker of the tasks is silent and they are copied
    Then the tenant occupies 2000
    When an owner takes the job over
    Then the tenant occupies 2000
    When all leases of former owners have run out
    Then the tenant occupies 1000
    When the first worker loses all it had and the job is cancelled
    Then the tenant occupies 1000
    When the second worker is lost, too
    Then the tenant occupies 0
