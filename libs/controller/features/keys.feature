Feature: API keys and configurations

  Scenario Outline: Whether a key is refused depends on the configuration's age
    Given a configuration with the key "k1" of tenant "a", confirmed <age> s ago
    When a request with the key "<key>" is checked, <strictness>
    Then the outcome is "<outcome>"

    Examples:
      | key     | age | strictness | outcome               |
      | k1      | 0   | leniently  | accepted              |
      | k1      | 60  | leniently  | accepted              |
      | k1      | 5   | strictly   | accepted              |
      | k1      | 5.1 | strictly   | configuration-too-old |
      | k1      | inf | strictly   | configuration-too-old |
      | k2      | 1.9 | leniently  | unknown-key           |
      | k2      | 2   | leniently  | configuration-too-old |
      | k2      | inf | strictly   | configuration-too-old |
      | missing | 1.9 | strictly   | missing-key           |
      | missing | 2   | leniently  | configuration-too-old |

  Scenario: Keys are found by their digests, and not kept
    Given an index of 3000 keys, some with digests that begin alike
    Then each key is found and no other
    And its text shows no key, and it keeps none

  # Guards against a key that is served, or refused, for longer than the time in
  # which a configuration has to be applied.
  Scenario Outline: A configuration is in force everywhere in time
    Given 3 daemons with tenants
    When configurations are published <times> times, one each <interval> s
    And the connection of each pending read dies before each <every>th of them
    Then each daemon applies each configuration within 2 s
    And none goes back to an older version

    Examples:
      | times | interval | every |
      | 4     | 1.7      | 100   |
      | 40    | 0.2      | 100   |
      | 4     | 2.2      | 1     |
      | 40    | 0.2      | 16    |

  # Guards against unknown keys that are not refused for as long as another read
  # waits for records.
  Scenario: After a failed read the configuration is soon confirmed again
    Given 2 daemons with tenants
    When the connection of each pending read dies without a new configuration
    Then each daemon refuses an unknown key all the time but for 0.2 s

  # Guards against a configuration that replaces a newer one: one published out
  # of turn, or read again in a snapshot.
  Scenario: A configuration never goes back to an older one
    Given 2 daemons with tenants
    When version 9 is published, then version 4, and records expire
    Then each daemon has version 9

  # Guards against a daemon that serves clients by no or by an old configuration.
  Scenario Outline: A new daemon is ready only with the newest configuration
    Given 1 daemons with tenants
    When version 7 is published and a daemon starts while reads <problem>
    Then the new daemon is never ready with another version
    And it is ready within <seconds> s

    Examples:
      | problem           | seconds |
      | succeed           | 3       |
      | fail for 1.5 s    | 5       |

  # Guards against a read that ends before the newest record but counts as a
  # confirmation.
  Scenario: Only a read of all records confirms the configuration
    Given an operators' feed
    When a read of 2 of 3 records that was sent at 10 s is applied
    Then the configuration is not confirmed
    When a read of no record that was sent at 12 s is applied
    Then the configuration was confirmed at 12 s
    And without tenants each read waits as before there were tenants
