Feature: Starts that an owner has under way

  # Guards against wide gangs that wait behind the small steps of others.
  Scenario Outline: An urgent gang starts though small steps wait with it
    Given an owner that sends <rate> starts a second to 60 workers
    And 400 patient jobs with steps "5x1000 lasting 1"
    When 4 seconds of starts go by
    And an urgent job arrives with steps "40x1000 gang"
    And 4 seconds of starts go by
    Then all tasks of the urgent job have been placed

    Examples:
      | rate |
      | 50   |
      | 100  |

  # Guards against one wide step that fills the queue of orders by itself.
  Scenario: A wide step is placed as fast as its tasks start
    Given an owner that sends 50 starts a second to 60 workers
    And 1 patient jobs with steps "900x1000 lasting 1"
    When 6 seconds of starts go by
    Then no more than 64 starts were under way at any time

  # Guards against workers which leave all orders unanswered and get ever more.
  Scenario: Workers that do not answer take a bounded number of starts
    Given an owner that sends 0 starts a second to 60 workers
    And 400 patient jobs with steps "5x1000 lasting 1"
    When the starts on all workers are left unanswered for 4 seconds
    Then no more than 256 starts were under way at any time
