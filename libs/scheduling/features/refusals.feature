Feature: Jobs whose starts are refused

  # Guards against a job whose starts no worker accepts, and that keeps its pool
  # from all others: each worker backs off after each refusal.
  Scenario Outline: A job that all workers refuse does not keep others from its pool
    Given a mixed fleet of 8 workers whose tasks may fail 3 times
    And a job of <width> tasks that all workers refuse
    When sound jobs arrive for 30 seconds with a load of <load>
    Then each sound job has started within <wait> seconds

    Examples:
      | width | load | wait |
      | 30    | 0.5  | 3    |
      | 30    | 0.8  | 3    |
      | 100   | 0.5  | 5    |

  # Guards against a worker that refuses all starts, and counts as sound as the
  # tasks that it refuses were refused by another one.
  Scenario: Two workers that refuse all starts back off beside sound ones
    Given a mixed fleet of 4 workers whose tasks may fail 3 times
    And workers "w0 w1" refuse all starts
    When sound jobs arrive for 20 seconds with a load of 0.5
    Then each sound job has started within 3 seconds
    And at most 120 starts of the mix were refused
