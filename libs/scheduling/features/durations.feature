Feature: Run times learned from ended attempts

  # Guards against a mean, which a few slow tasks would raise by a fifth.
  Scenario: A few runs that take seven times as long hardly move the estimate
    Given runs of 1 s, varied by a tenth, of which 3 of 100 take seven times as long
    Then each estimate after 8 runs lies between 0.85 and 1.2 s

  # Guards against trust in declared durations that are off by nine tenths.
  Scenario: Declared durations that are off by nine tenths are replaced
    Given runs of 1 s, varied by a tenth, whose declared durations are off by nine tenths
    Then each estimate after 8 runs lies between 0.85 and 1.2 s

  # Guards against one estimate for short and long tasks of one image.
  Scenario: Declared durations that tell runs apart are scaled
    Given runs that take 3 times their declared durations of 0.2 to 5 s
    Then a declared duration of 0.5 s is estimated as 1.5 s
    And a declared duration of 4 s is estimated as 12 s

  Scenario: The declared duration counts until enough runs were seen
    Given 7 runs of 5 s
    Then a declared duration of 0.5 s is estimated as 0.5 s
    And the duration of a task that declares none is unknown

  # Guards against reservations that count on the end of a stalled attempt.
  Scenario Outline: The remaining time of an attempt follows its age and progress
    Given an attempt that is <age> s old and reported <percent>% at <at> s
    When its kind takes 2 s, and hardly ever over 3 s
    Then it is expected to run for <left> s more

    Examples:
      | age | percent | at  | left |
      | 0.5 | 0       | 0   | 1.5  |
      | 2.5 | 0       | 0   | 0.5  |
      | 3.5 | 0       | 0   | inf  |
      | 3.5 | 90      | 3.2 | inf  |
      | 1.0 | 50      | 1.0 | 1.0  |
      | 1.0 | 10      | 1.0 | 9.0  |
      | 2.4 | 50      | 1.0 | 0.6  |

  Scenario: Attempts of another owner teach nothing and end at an unknown time
    Given an attempt that another owner placed
    When its kind takes 2 s, and hardly ever over 3 s
    Then it is expected to run for inf s more

  # Guards against run times of checkpointed, remote or unfinished attempts.
  Scenario Outline: Only whole runs beside their data are learned
    Given a worker of rack "r1" runs attempt <attempt> of a task <more>
    When it reports after 2 s that the attempt is <outcome>
    Then <count> kinds of tasks are known

    Examples:
      | attempt | outcome | more             | count |
      | 1       | done    | without data     | 1     |
      | 1       | failed  | without data     | 0     |
      | 1       | done    | with data on r1  | 1     |
      | 1       | done    | with data on r2  | 0     |
      | 2       | done    | with checkpoints | 0     |
      | 2       | done    | without data     | 1     |

  Scenario: Memory is bounded
    Given runs of 5000 images
    Then 512 kinds of tasks are known
