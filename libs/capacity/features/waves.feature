Feature: Maintenance waves

  Background:
    Given a pool of 4 VMs on 2 racks with a budget of 3

  Scenario: A wave keeps the limit per rack
    Given the pool is set to "at_once: 4\nat_once_per_rack: 1"
    When a wave with 4 at once runs to its end
    Then at most 2 VMs were unavailable at once
    And every VM was rebooted once

  Scenario: VMs that failed count against the wave
    Given 1 VM has failed
    When a wave with 1 at once runs for 5 rounds
    Then no VM was charged to the wave

  Scenario: A VM whose job outlasts the drain limit is passed over
    Given the pool is set to "drain_limit_seconds: 3"
    And a job runs on 1 VM
    When a wave with 2 at once runs for 30 rounds
    Then the wave has ended
    And 1 VM was passed over for "requests or jobs outlasted drain_limit_seconds=3 of /pools/a"
    And no job was interrupted

  Scenario: A paused wave drains no further VM
    When a wave with 1 at once is paused after 2 rounds
    Then 1 VM was rebooted by the wave and is available

  Scenario: An aborted wave returns its drained VMs to service
    When a wave with 1 at once is aborted after 2 rounds
    Then 1 VM was rebooted by the wave and is available

  Scenario: The cost of a wave is estimated before its start
    Given the pool is set to "at_once: 2\nreturn_seconds: 1800"
    When the cost of a wave with 2 at once is estimated
    Then it takes 1.0 hours and depends on "/pools/a at_once"

  Scenario: The forecast of a late wave names the reason
    Given the pool is set to "return_seconds: 1800\nwave_hours: 1"
    When a wave with 1 at once runs for 1 rounds
    Then it is late because "4 VMs are left, 1 may be away at once"
