Feature: Stored bounds of leases

  # Guards against a task that runs twice: its next owner relies on a bound that
  # was removed before the lease was extended.
  Scenario: Bounds that were removed while nobody read are dropped
    Given the bounds of "w0 w1" were read at 10 s
    When a snapshot up to offset 9 that lists only "w1" is read at 20 s
    Then the bound of "w1" counts from 10 s
    And there is no bound of "w0"

  Scenario: An older record that arrives late does not return
    Given the bounds of "w0" were read at 10 s
    When the removal of the bound of "w0" is read at 11 s
    And the bounds of "w0" were read at 12 s
    Then there is no bound of "w0"

  Scenario: A bound newer than the snapshot is kept
    Given the bounds of "w0 w1" were read at 10 s
    When a snapshot up to offset 0 that lists only "w0" is read at 20 s
    Then the bound of "w1" counts from 10 s

  Scenario: A record that cannot be decoded is no bound
    Given the bounds of "w0" were read at 10 s
    When an invalid bound of "w0" is read at 11 s
    Then there is no bound of "w0"
    And the error is reported

  # Guards against a task that runs twice: the next owner relied on a bound that
  # did not cover a start order on its way, or one that got no answer, which the
  # next incarnation of the worker may have executed.
  Scenario: A bound covers start orders that may have been executed unnoticed
    Given workers "w0" with 1000 millicores
    And a job with steps "1x1000"
    When a scheduling round runs, and its starts are sent
    And the leases on "w0", which is silent, end in 1 second
    Then no bound of "w0" is stored within 5 seconds
    And the task is not released
    When the start gets no answer
    Then bounds of "w0" are stored, and none is shorter than the longest lease
    And the task is released after the longest lease
