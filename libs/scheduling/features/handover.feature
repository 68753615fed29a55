Feature: Handing over partitions of overloaded owners

  Scenario Outline: A clearly stronger daemon that owns nothing makes an offer
    Given an owner with <cores> cores and <owned> partitions that is behind for <share> of the time
    And a bidder with <offered> cores, <bids> partitions and a lag of <lag>
    Then 1 s later it makes <offers> offers

    Examples:
      | cores | owned | share | offered | bids | lag | offers |
      | 0.5   | 1     | 0.5   | 2       | 0    | 0   | 1      |
      | 0.5   | 1     | 0.1   | 2       | 0    | 0   | 0      |
      | 0.5   | 1     | 0.5   | 0.7     | 0    | 0   | 0      |
      | 0.5   | 2     | 0.5   | 0.5     | 0    | 0   | 1      |
      | 0.5   | 1     | 0.5   | 2       | 1    | 0   | 0      |
      | 0.5   | 1     | 0.5   | 2       | 0    | 0.3 | 0      |

  Scenario: One offer is enough, until it has expired or the term has ended
    Given an owner with 0.5 cores and 1 partitions that is behind for 0.5 of the time
    And a bidder with 2 cores, 0 partitions and a lag of 0
    When another daemon offers to own the partition
    Then 1 s later it makes 0 offers
    And 5 s later it makes 1 offers
    When another daemon offers to own the partition after an earlier term
    Then 1 s later it makes 1 offers

  Scenario: A short delay of the event loop is no overload
    Given a daemon that is behind for 0.5 of the time during 2 s
    Then it is not overloaded
    Given a daemon that is behind for 0.5 of the time during 5 s
    Then it is overloaded
    When it is behind for 0 of the time during 2 s
    Then it is not overloaded
