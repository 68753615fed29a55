Feature: Service-level burn

  Scenario: Counts of several entry VMs are added, and a repeated summary counts once
    Given a log with the team "archive" and the objective 0.99 within 2 seconds
    When "entry-1" reports 90 good, 5 slow and 5 bad
    And "entry-2" reports 100 good, 0 slow and 0 bad
    And the last summary is appended again
    Then the report shows 200 requests, 5 bad and 5 slow

  Scenario: A summary of an unknown service is rejected
    Given a log with the team "archive" and the objective 0.99 within 2 seconds
    When "entry-1" reports 1 good, 0 slow and 0 bad of "archive/other"
    Then the last summary is rejected

  Scenario: The counts of a removed service are deleted
    Given a log with the team "archive" and the objective 0.99 within 2 seconds
    When "entry-1" reports 1 good, 0 slow and 0 bad
    And the team replaces its service by "t"
    And "entry-1" reports 1 good, 0 slow and 0 bad of "archive/t"
    Then only "archive/t" is kept

  Scenario: The number of buckets is bounded for any stream of summaries
    Then any summaries in any order give the same counts in few buckets

  Scenario Outline: The status follows from the budget that is left and the burn rate
    Given a log with the team "archive" and the objective 0.99 within 2 seconds
    When <bad> of 1000 requests were bad <days> days ago
    Then the objective is "<status>" with <left> of the budget left

    Examples:
      | bad | days | status  | left |
      | 0   | 1    | kept    | 1.0  |
      | 5   | 10   | kept    | 0.5  |
      | 9   | 10   | kept    | 0.1  |
      | 9   | 0    | kept    | 0.1  |
      | 10  | 0    | at risk | 0.0  |
      | 11  | 10   | broken  | -0.1 |
      | 900 | 40   | no request | 1.0  |

  Scenario Outline: The forecast divides the budget that is left by the burn rate
    Then <left> left at rate <rate> over 28 days lasts <days> days

    Examples:
      | left | rate | days |
      | 0.5  | 7    | 2    |
      | 1    | 1    | 28   |
      | 0.5  | 0    | none |
      | -1   | 3    | 0    |

  Scenario: An answer is late if it takes longer than the objective
    Given a meter
    When requests take 0.1, 1.9, 2.1 and 40 seconds and one is refused
    Then it counts 2 good, 2 slow and 1 bad
    And the median is about 2 seconds
    And causes are reported only if a request was slow or bad

  Scenario: The page shows objectives, results and causes
    Given a log with the team "archive" and the objective 0.99 within 2 seconds
    When "entry-1" reports 90 good, 5 slow and 5 bad
    Then the page contains "99% of requests are answered"
    And the page contains "5 were refused or failed and 5 were answered late"
    And the page contains "wave 70e94343 on pool a &lt;b&gt;"
    And the page loads nothing over the network

  Scenario: Summaries of all entry VMs stay within the rate limit
    Then any report size and number of entry VMs keep within the rate limit
