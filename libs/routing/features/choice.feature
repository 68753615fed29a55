Feature: Endpoint selection

  Scenario: An endpoint that fails fast attracts no extra requests
    Given 6 endpoints in zone "a" of which 1 fails at once
    When 3000 requests are sent, 20 at a time
    Then the failing one got fewer than 100 of them

  Scenario: An endpoint that fails half of its requests gets fewer of them
    Given 6 endpoints in zone "a" of which 1 fails every second request
    When 3000 requests are sent, 20 at a time
    Then the failing one got fewer than 100 of them

  Scenario: A fault of the entry VM ejects at most half of the endpoints
    Given 6 endpoints in zone "a" of which 6 fail at once
    When 3000 requests are sent, 20 at a time
    Then at most 3 endpoints are ejected and requests are still sent

  Scenario: An ejected endpoint is probed and then starts slowly
    Given 2 endpoints in zone "a" of which 1 fails at once
    When 300 requests are sent, 4 at a time
    And the failing one recovers and its ejection ends
    Then it gets 1 request until one succeeds, then 1, then 4, then 8

  Scenario: Endpoints of the own availability zone are used first
    Given 2 endpoints in zone "a" and 2 in zone "b"
    When 20 requests are sent that do not end
    Then 16 went to zone "a" and 4 to zone "b"

  Scenario: An endpoint that has just refused a request is avoided briefly
    Given 2 endpoints in zone "a" and 2 in zone "b"
    When both endpoints of zone "a" refuse a request
    Then the next request goes to zone "b"
    And a request one second later goes to zone "a"

  Scenario: A slow endpoint gets fewer requests than fast ones
    Given 6 endpoints in zone "a" of which 1 is ten times slower
    When 3000 requests are sent, 20 at a time
    Then the slow one got fewer than 50 of them

  Scenario: An endpoint that was slow once gets requests again
    Given 2 endpoints in zone "a" of which 1 is slow in its first request
    When 600 requests are sent, 1 at a time
    Then the one that was slow got at least 100 of them

  Scenario: Retries are limited to a share of the first attempts
    Given a retry budget
    When 1000 requests are sent and every attempt fails
    Then at most 110 retries are granted
