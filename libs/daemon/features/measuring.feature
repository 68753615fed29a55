Feature: Measurement of requests by service

  Scenario Outline: Which requests count as good, bad or not at all
    Given a team with a service and its token
    When a request <ends> with status <status> and verdict <verdict>
    Then the service counts <good> good and <bad> bad

    Examples:
      | ends        | status | verdict      | good | bad |
      | ends        | 200    | ran          | 1    | 0   |
      | ends        | 404    | ran          | 1    | 0   |
      | ends        | 500    | ran          | 0    | 1   |
      | ends        | 503    | not-run      | 0    | 1   |
      | ends        | 429    | not-run      | 0    | 1   |
      | ends        | 504    | may-have-run | 0    | 1   |
      | ends        | 400    | not-run      | 0    | 0   |
      | ends        | 409    | ran          | 1    | 0   |
      | ends        | 413    | not-run      | 0    | 0   |
      | is cut      | 200    | ran          | 0    | 1   |
      | is left     | 200    | ran          | 0    | 0   |
      | fails       | 0      | none         | 0    | 1   |

  Scenario: Unauthorized requests do not count
    Given a team with a service and its token
    When an unauthorized request ends with status 401 and verdict not-run
    Then the service counts 0 good and 0 bad

  Scenario: Possible causes of bad requests are listed
    Given a team with a service and its token
    And a VM of its pool that a wave drained, and one that failed
    And a VM of another pool that failed
    Then the causes are
      | cause                                 |
      | wave 70e94343 on pool a               |
      | failure of VM a-2                     |
      | /teams/archive version 1 set by nimal |
    And after the next summary the setting is no longer a cause
