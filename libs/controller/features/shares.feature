Feature: Shares of tenants in a daemon

  # Guards against a change of order where there are no tenants.
  Scenario: Only a deployment with tenants divides its pools by shares
    Then settings without tenants choose the order by urgency
    And settings with tenants choose fair shares

  # Guards against metrics that grow with the number of tenants.
  Scenario: Metrics name at most 20 tenants
    Given 25 tenants that wait for 1 to 25 tasks
    Then the metrics name 20 tenants and sum up 15 tasks of the others
