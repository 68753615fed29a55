Feature: The routing front keeps its promises under any events

  Scenario: Any stream of events
    Then 200 random streams of 40 events break no promise
