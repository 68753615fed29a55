Feature: Rejections of jobs while workers are away for a moment

  # Guards against jobs that are rejected on the capacity of a moment, while most
  # workers of their pool are cut off, and that would be done in time.
  Scenario Outline: Jobs that would be in time are not rejected while workers are <away>
    Given a mixed fleet of 8 workers whose tasks may fail 3 times
    When jobs arrive for 20 seconds, and 7 workers are <away> for <seconds> seconds
    Then no job is rejected that was done in time

    Examples:
      | away           | seconds |
      | cut off        | 3       |
      | cut off        | 4       |
      | asked to drain | 3       |
