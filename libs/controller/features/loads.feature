Feature: What an owner tells the owner of the fleet

  # Guards against a pool that keeps too few workers, or too many, for as long as
  # its load stays the same.
  Scenario: A load is written again when an older one is stored after it
    Given a pool with 1 waiting job, whose load is published
    When 12 more jobs wait, and their load is published
    And the first record of the load is stored once more
    And 3 seconds pass in which loads are published and read
    Then the stored load is the present one
    And the load was written 3 times

  Scenario: A load that is stored is not written again
    Given a pool with 1 waiting job, whose load is published
    When 3 seconds pass in which loads are published and read
    Then the stored load is the present one
    And the load was written 1 times

  # Guards against a VM that stays drained in its pool and moves nowhere.
  Scenario: A drained worker is reported again when an older report is stored later
    Given a drain request whose worker is reported as drained
    When the worker is requested anew and reported as drained
    And the first record of the report is stored once more
    And 3 seconds pass in which drained workers are reported
    Then the worker counts as drained
    And 3 reports were written
