Feature: Recovery at chosen moments

  Each scenario holds an installation in a state that the trials seldom reach.

  Scenario: A resumed daemon sends nothing to a drained endpoint
    Given an installation and a daemon that is not the planner
    When the daemon is paused before a wave drains VMs and resumed afterwards
    Then the drained endpoints received no request

  Scenario: A charged VM is not drained after failures have used up the budget
    Given an installation whose platform refuses every action
    When a wave has charged VMs and the rack of other VMs fails
    And the platform accepts actions again
    Then at most 2 VMs are unavailable when a VM is drained

  Scenario: A daemon starts after the first log records have expired
    Given an installation whose log keeps 400 records
    When 900 more records are appended and an entry VM is replaced
    Then the new daemon serves the settings of the team

  Scenario: A daemon that starts during a log outage serves no stale settings
    Given an installation whose log keeps 400 records
    When an entry VM is replaced while the log is down
    Then it refuses settings that it cannot know, and serves them after the outage
