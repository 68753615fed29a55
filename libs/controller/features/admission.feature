Feature: Rejection of hopeless jobs at several daemons

  # Guards against a refusal that is not true, and against the loss of an accepted
  # job.  The waits are published by a stand-in for the owner.
  Scenario: A hopeless job is refused and not stored, an accepted one stays
    Given 2 daemons with admission by expected wait
    When a job is submitted at one daemon
    And waits of 60 s are published for 3 s
    Then another job is refused at each daemon, with a time to come back
    And nothing of it is stored
    And the first job is accepted again at each daemon, and the run succeeds

  # Guards against rejections by figures that are old.
  Scenario: After an outage of the store jobs are admitted
    Given 2 daemons with admission by expected wait
    When waits of 60 s are published for 3 s
    And the store is down for 2 s
    Then another job is accepted at each daemon

  # Guards against a figure that outlives its owner.
  Scenario: A takeover clears the figure
    Given 2 daemons with admission by expected wait
    When waits of 60 s are published for 3 s
    And the owner is lost and another one takes over
    Then the newest stored record says that nobody waits
    And another job is accepted at each daemon

  # Guards against a change for other deployments: 400 tasks of half a core
  # and 1 s in a pool of one worker with 4 cores.
  Scenario Outline: Waits are stored only if the settings enable it
    Given 2 daemons with admission <admission>
    When the pool is full for 6 s
    Then <count> records of waits are stored

    Examples:
      | admission        | count           |
      | off              | no              |
      | by expected wait | at most 5 a second |
