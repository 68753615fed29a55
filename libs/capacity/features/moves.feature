Feature: Moves between pools

  Background:
    Given a pool of 4 VMs on 2 racks with a budget of 3
    And pool "b" is set to "spare: true"

  Scenario: A pool with a lasting shortage gets a VM
    Given pool "a" is set to "peak_vms: 5"
    When the planner runs for 80 rounds
    Then pool "a" has 5 VMs and pool "b" has 3

  Scenario: A short burst moves no VM
    Given pool "a" is set to "peak_vms: 5"
    When the planner runs for 50 rounds
    And pool "a" is set to "peak_vms: 4"
    And the planner runs for 60 rounds
    Then pool "a" has 4 VMs and pool "b" has 4
    And 0 moves were started

  Scenario: A borrowed VM returns when it is no longer needed
    Given pool "a" is set to "peak_vms: 5"
    When the planner runs for 80 rounds
    And pool "a" is set to "peak_vms: 4"
    And the planner runs for 500 rounds
    Then pool "a" has 5 VMs and pool "b" has 3
    When the planner runs for 150 rounds
    Then pool "a" has 4 VMs and pool "b" has 4
    And 2 moves were started

  Scenario: A move waits until the jobs of its VM end
    Given jobs fill pool "b"
    And pool "a" is set to "peak_vms: 5"
    When the planner runs for 100 rounds
    Then pool "a" has 4 VMs and pool "b" has 4
    And no job was interrupted

  Scenario: A spare pool keeps its last VM for its own jobs
    Given pool "a" is set to "peak_vms: 9"
    When the planner runs for 200 rounds
    Then pool "a" has 7 VMs and pool "b" has 1
