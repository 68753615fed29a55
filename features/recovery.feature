Feature: Recovery at chosen moments

  Each scenario stops time at one step that a random trial seldom meets.

  Scenario: A daemon that was paused sends nothing to an endpoint that left
    Given an installation with a wave that has drained the first VMs
    When an entry VM of the same zone is paused before and woken after
    Then the drained endpoints got no request

  Scenario: A VM that was charged is not drained once failures used the budget
    Given an installation whose platform refuses every act
    When a wave has charged VMs and the rack of others fails
    And the platform takes acts again
    Then at most 2 VMs are away when a VM is drained

  Scenario: A daemon starts after its first records have expired
    Given an installation whose log keeps 400 records
    When 900 records more are appended and an entry VM is replaced
    Then the new daemon shows the settings of the team

  Scenario: A daemon that starts during an outage of the log shows nothing old
    Given an installation whose log keeps 400 records
    When an entry VM is replaced while the log is down
    Then it refuses to show settings that it can not know, and then shows them
