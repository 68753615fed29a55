Feature: Jobs of tenants

  Scenario: For another tenant there is no such job
    Given 2 daemons with tenants
    When tenant "a" submits a job at one daemon
    Then tenant "a" sees it at each daemon
    And tenant "b" can't see or cancel it at any daemon
    And a request of no tenant for another queue can't see it
    And a request of no tenant for its queue sees it
    And each daemon has stored the tenant "a" with the job

  # Guards against a submission that replaces the job of another tenant, stored
  # at another daemon a moment ago.
  Scenario: The id of another tenant's job is a conflict
    Given 2 daemons with tenants
    When tenant "a" submits a job at one daemon
    And tenant "b" submits the same id at the other one at once
    Then the second submission is a conflict
    And the store has one submission, of tenant "a"
    And submitting it again as tenant "a" at the other one succeeds

  Scenario: A job whose id can't be looked up is not accepted
    Given 2 daemons with tenants
    When reads fail and tenant "a" submits a job
    Then it is refused as not run, and nothing is stored

  # Guards against a client that is held while a store that does not answer is
  # read before its job is refused.
  Scenario: Without contact with the store a job is refused at once
    Given 2 daemons with tenants
    When the store falls silent for 3 s and then tenant "a" submits a job
    Then it is refused within 0.05 s
    And the refusal is counted and logged

  # Guards against a job that seems younger than it is, and so less urgent.
  Scenario: The time for which a slow store is read counts as the job's age
    Given 2 daemons with tenants
    When reads take 0.5 s and tenant "a" submits a job
    Then its record has the time at which it arrived

  # Guards against a change for installations without tenants.
  Scenario: Without tenants a submission is looked up once, and nothing more is stored
    Given 1 daemons without tenants
    When a job is submitted and read
    Then the submission caused one append and one read
    And its record has no tenant
