Feature: Shares of tenants in a daemon

  # Guards against a change of order where there are no tenants.
  Scenario: Only a deployment with tenants divides its pools by shares
    Then settings without tenants choose the order by urgency
    And settings with tenants choose fair shares

  # Guards against metrics that grow with the number of tenants.
  Scenario: Metrics name at most 20 tenants
    Given 25 tenants that wait for 1 to 25 tasks
    Then the metrics name 20 tenants and sum up 15 tasks of the others

  # Guards against a log that a peak fills, and against lines without a cause.
  Scenario: Waiting tenants are logged at most every 5 s
    Given a partition with tenants "a" and "b" and a report on its tenants
    When 4 jobs of "a" wait and rounds are reported for 12 s
    Then 2 lines name "a" with 8 waiting tasks and 3 jobs beyond the rate
    When the jobs are cancelled and rounds are reported for 12 s
    Then 0 lines are added

  # Guards against metrics of a partition that another daemon owns by now.
  Scenario: The metrics of a partition end with the term
    Given a partition with tenants "a" and "b" and a report on its tenants
    When 4 jobs of "a" wait and rounds are reported for 6 s
    Then the metrics show 8 waiting tasks of "a" and 3 jobs beyond the rate
    When the term ends
    Then the metrics show nothing of "a"

  # Guards against a change where there are no tenants.
  Scenario: Without tenants nothing is reported
    Given a partition without tenants and a report on its tenants
    When 4 jobs of "a" wait and rounds are reported for 12 s
    Then 0 lines are added
    And the metrics show nothing of "a"
