Feature: Jobs of tenants

  # A deployment without tenants must store what it stored before.
  Scenario: The record of a job holds the tenant only if there is one
    When a job of no tenant and one of tenant "harbour" are stored
    Then the first record has no field more than before there were tenants
    And the second job, read back, belongs to tenant "harbour"
