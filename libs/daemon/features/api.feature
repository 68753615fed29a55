Feature: The administration API conforms to its OpenAPI document

  Background:
    Given an installation with a team and a viewer

  Scenario: Every documented operation is served to authorized callers only
    Then every operation except health checks refuses a caller without a token
    And every documented answer to an operator has the documented fields
    And a path that is not documented is refused as JSON

  Scenario: Teams access their own subtree, viewers change nothing
    Then these calls have these statuses
      | role     | method | path                        | status |
      | team     | GET    | /v1/settings/teams/archive  | 200    |
      | team     | GET    | /v1/settings/teams/other    | 403    |
      | team     | GET    | /v1/settings/fleet          | 403    |
      | team     | PUT    | /v1/settings/fleet          | 403    |
      | team     | GET    | /v1/vms                     | 403    |
      | team     | GET    | /v1/burn                    | 200    |
      | team     | GET    | /metrics                    | 403    |
      | team     | POST   | /v1/waves                   | 403    |
      | viewer   | GET    | /v1/settings/fleet          | 200    |
      | viewer   | GET    | /metrics                    | 200    |
      | viewer   | PUT    | /v1/settings/fleet          | 403    |
      | viewer   | POST   | /v1/waves                   | 403    |
      | viewer   | POST   | /v1/jobs                    | 403    |
      | viewer   | POST   | /v1/keys                    | 403    |
      | operator | GET    | /v1/settings/teams/archive  | 200    |

  Scenario: No request body or header causes a server error
    Then any body to any operation is answered without a server error
    And a body that is too large is refused with 413
    And the settings are unchanged

  Scenario: Metrics have their documented names
    When the team sends GET to /call/nothing
    And the operator sends GET to /metrics
    Then the metrics are among those documented and have their units
    And requests, offsets and durations are among them

  Scenario: A caller over its rate limit receives Retry-After
    When the operator allows 0.1 calls a second
    Then of 20 calls at once some are refused with 429 and Retry-After
    And the refusal names /fleet api_requests_per_second
