Feature: Maintenance waves

  Background:
    Given a pool of 4 VMs on 2 racks with a budget of 3

  Scenario: Limits by rack hold
    Given the pool is set to "at_once: 4\nat_once_per_rack: 1"
    When a wave with 4 at once runs to its end
    Then at most 2 VMs were away at once
    And every VM was rebooted once

  Scenario: VMs that failed count against the wave
    Given 1 VM has failed
    When a wave with 1 at once goes on for 5 rounds
    Then no VM was taken by the wave

  Scenario: A job outlasts the drain limit
    Given the pool is set to "drain_limit_seconds: 3"
    And a job runs on 1 VM
    When a wave with 2 at once goes on for 30 rounds
    Then the wave has ended
    And 1 VM was passed over for "requests or jobs outlasted drain_limit_seconds=3 of /pools/a"
    And no job was cut

  Scenario: A paused wave takes no further VM
    When a wave with 1 at once is paused after 2 rounds
    Then 1 VM was taken by the wave and is back

  Scenario: An aborted wave brings back what it has taken
    When a wave with 1 at once is aborted after 2 rounds
    Then 1 VM was taken by the wave and is back

  Scenario: The cost is said before a wave is started
    Given the pool is set to "at_once: 2\nreturn_seconds: 1800"
    When the wave is priced with 2 at once
    Then it takes 1.0 hours and rests on "/pools/a at_once"

  Scenario: A wave that can not keep its time says why
    Given the pool is set to "return_seconds: 1800\nwave_hours: 1"
    When a wave with 1 at once goes on for 1 rounds
    Then it is late because "4 VMs are left, 1 may be away at once"
