Feature: Placement of jobs

  Background:
    Given a pool of 4 VMs on 2 racks with a budget of 3

  Scenario: Urgent jobs start before patient ones submitted earlier
    Given 5 patient jobs of team "one" with 4 cores
    And 1 urgent jobs of team "two" with 4 cores
    When the planner runs for 3 rounds
    Then team "two" has 1 jobs running
    And team "one" has 3 jobs running

  Scenario: Unused quota is borrowed and reclaimed
    Given team "one" has a quota of 4 cores
    And team "two" has a quota of 8 cores
    And 4 patient jobs of team "one" with 4 cores
    When the planner runs for 3 rounds
    Then team "one" has 4 jobs running
    When 2 patient jobs of team "two" with 4 cores are added
    And the planner runs for 8 rounds
    Then team "two" has 2 jobs running
    And team "one" has 2 jobs running
    And no job was lost

  Scenario: An urgent job replaces a patient one that can be repeated
    Given 4 patient jobs of team "one" with 4 cores
    When the planner runs for 3 rounds
    When 1 urgent jobs of team "two" with 4 cores are added
    And the planner runs for 4 rounds
    Then team "two" has 1 jobs running

  Scenario: A VM that fails every job gets only probes
    Given VM "vm-1" fails every job
    And 60 patient jobs of team "one" with 4 cores
    When the planner runs for 60 rounds
    Then VM "vm-1" was given at most 4 attempts
    And at least 50 jobs have succeeded

  Scenario: Measured run times correct declared ones
    Given jobs of team "one" run 40 times as long as declared
    When a job of team "two" due in 400 s and one of team "one" due in 420 s wait
    Then the one of team "one" starts first

  Scenario: Leases grow with the number of running jobs
    Given 300 jobs are running
    Then renewals are at most 5 per second

  Scenario: A job on a VM listed as gone is restarted only after its lease
    Given 1 patient jobs of team "one" with 4 cores
    When the planner runs for 3 rounds
    And VM "vm-1" is listed as gone
    And the planner runs for 60 rounds
    Then the first job is at attempt 2
    And team "one" has 1 jobs running

  Scenario: A job that is larger than any VM is set aside
    Given 1 patient jobs of team "one" with 9 cores
    When the planner runs for 2 rounds
    Then a job is set aside because "9 cores and 1 GB are more than any VM of pool a has"
