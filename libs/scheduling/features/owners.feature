Feature: Bids for the ownership of partitions

  Scenario Outline: The delay falls with the capacity left for one partition
    Then the delay of <cores> cores that own <owned> partitions is from <least> to <most> s if the strongest have 2

    Examples:
      | cores | owned | least | most |
      | 2     | 0     | 0.15  | 0.23 |
      | 1     | 0     | 0.30  | 0.45 |
      | 2     | 1     | 0.30  | 0.45 |
      | 0.5   | 0     | 0.60  | 0.90 |
      | 0.1   | 5     | 0.70  | 1.05 |
      | 0     | 0     | 0.70  | 1.05 |

  Scenario: A silent owner's partition is due, the released one sooner
    Given owners of partitions "1 2" are heard at 0 s
    When the owner of partition 2 releases it at 0.2 s
    Then no partition is due at 0.25 s
    And partition 2 is due at 0.5 s
    When partition 2 turns out to be taken at 0.7 s
    Then no partition is due at 0.9 s
    And partition 2 is due at 1.0 s
    When the owner of partition 2 is heard at 1.1 s
    Then no partition is due at 1.5 s
    And partition 1 is due at 1.9 s

  # Guards against a takeover that waits for the silence of an owner that was
  # gone before the daemon started, as after a loss of all daemons.
  Scenario: A daemon that has just started checks all partitions soon
    Given stored statuses of partitions "1" are read at 0 s
    Then no partition is due at 0.1 s
    And partition 1 is due at 0.5 s
    When partition 1 turns out to be taken at 0.5 s
    Then no partition is due at 0.6 s
    And partition 1 is due at 0.75 s
    When partition 1 turns out to be vacant at 0.75 s
    Then no partition is due at 0.85 s
    And partition 1 is due at 1.0 s
    When partition 1 turns out to be taken at 1.0 s
    Then no partition is due at 1.1 s
    And a group with members "me" may not be joined at 1.2 s

  # Guards against a store that is asked about a silent member without end.
  Scenario: Checks of an owner that was never heard become rare
    Given stored statuses of partitions "1" are read at 0 s
    Then 60 seconds later partition 1 was checked at most 30 times

  # Guards against weak daemons that own all pools after a loss of all daemons,
  # since they start later and so check first when the groups are vacant.
  Scenario: After a loss of all owners the strongest daemon claims first
    Given former owners that are listed as members until 1.2 s
    When a daemon of 2 cores reads their statuses at 0 s
    And a daemon of 0.5 cores reads their statuses at 1 s
    Then the daemon of 2 cores claims partition 1 first

  # Guards against an order that depends on who looks first at a vacant group,
  # and against a second claim of a partition that was claimed.
  Scenario Outline: After a loss of all owners the order is that of capacity
    Given former owners of <known> cores that are listed as members until <listed> s
    When a daemon of 2 cores reads their statuses at <strong> s
    And 8 daemons of 0.5 cores read their statuses at <weak> s
    Then the daemon of 2 cores claims partition 1 first
    And partition 1 is claimed once, within <seconds> s

    Examples: Listed for long or not at all, strong ones that start first or last
      | known | listed | strong | weak | seconds |
      | 2     | 0      | 0      | 0    | 0.5     |
      | 2     | 0      | 0.2    | 0    | 0.7     |
      | 2     | 0.5    | 0      | 0.1  | 1.0     |
      | 2     | 1.2    | 0      | 1    | 1.7     |
      | 2     | 1.55   | 0      | 1.5  | 2.05    |
      | 2     | 1.2    | 1      | 0    | 1.7     |
      | 2     | 3      | 0      | 1    | 5       |
      | 0.5   | 1.2    | 0      | 1    | 1.5     |
      | 0.5   | 1.3    | 0.1    | 1.2  | 1.6     |

  # Guards against a partition that is left to a strong daemon which can't bid.
  Scenario Outline: A strong daemon that can't bid is not waited for
    Given former owners of 2 cores that are listed as members until 1.2 s
    When a daemon of 2 cores reads their statuses at 0 s
    And the daemon of 2 cores <fault> from <from> to 4 s
    And a daemon of 0.5 cores reads their statuses at 1 s
    Then the daemon of 0.5 cores claims partition 1 first
    And partition 1 is claimed once, within 2.4 s

    Examples:
      | fault                  | from |
      | is frozen              | 0.1  |
      | is frozen              | 1.3  |
      | can not read the store | 0.1  |
      | can not read the store | 1.3  |

  # Guards against equals that wait for each other, or claim in turn.
  Scenario: Of two equally strong daemons one claims
    Given former owners of 2 cores that are listed as members until 1.2 s
    When 2 daemons of 2 cores read their statuses at 0 s
    Then partition 1 is claimed once, within 1.7 s

  # Guards against a partition without an owner while only weak daemons run.
  Scenario Outline: Without strong daemons a weak one claims soon
    Given former owners of 2 cores that are listed as members until <listed> s
    When <count> daemons of <cores> cores read their statuses at 0 s
    Then partition 1 is claimed once, within <seconds> s

    Examples:
      | count | cores | listed | seconds |
      | 1     | 0.5   | 0      | 1.3     |
      | 1     | 0.1   | 0      | 1.3     |
      | 1     | 0.5   | 1.2    | 2.4     |
      | 5     | 0.5   | 1.2    | 2.4     |

  # Guards against a strong daemon that takes a partition from its new owner.
  Scenario: A strong daemon that joins later leaves the new owner alone
    Given former owners of 2 cores that are listed as members until 1.2 s
    When a daemon of 0.5 cores reads their statuses at 0 s
    And a daemon of 2 cores reads their statuses at 3 s
    Then the daemon of 0.5 cores claims partition 1 first
    And partition 1 is claimed once, within 2.4 s

  Scenario: A daemon that has just started leaves live owners alone
    Given stored statuses of partitions "1" are read at 0 s
    When the owner of partition 1 is heard at 0.2 s
    Then no partition is due at 1.8 s
    And partition 1 is due at 2.3 s

  Scenario: A partition that never had an owner is due
    Given owners of partitions "1" are heard at 0 s
    And partition 3 gets its first pool at 0 s
    Then no partition is due at 0.2 s
    And partition 3 is due at 0.4 s

  Scenario: Without contact with the store no owner counts as silent
    Given owners of partitions "1" are heard at 0 s
    When the store has not been read at 3 s
    Then no partition is due at 4.6 s
    And partition 1 is due at 4.9 s

  Scenario: Checks of a partition that stays taken become rare
    Given owners of partitions "1" are heard at 0 s
    Then 60 seconds later partition 1 was checked at most 22 times

  Scenario: Only a vacant group is joined, or one whose owner is long gone
    Given owners of partitions "1 2" are heard at 0 s
    Then a group with members "" may be joined at 2 s
    And a group with members "me" may be joined at 2 s
    And a group with members "other" may not be joined at 2 s
    And a group with members "other" may not be joined at 7 s
    When the owner of partition 2 is heard at 6.9 s
    Then a group with members "other" may be joined at 7 s
    When the owner of partition 1 releases it at 8 s
    And the owner of partition 2 is heard at 14.5 s
    Then a group with members "other" may be joined at 15 s

  Scenario: A late status of an earlier term is ignored
    Given a fleet state with a status of term 7 of partition 1
    When a status of term 6 of partition 1 arrives
    Then the owner of partition 1 is that of term 7
