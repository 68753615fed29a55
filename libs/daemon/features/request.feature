Feature: Requests between a caller and an endpoint

  Scenario: A caller that disconnects cancels the request at the endpoint
    Given an endpoint with behavior "silent"
    When a caller sends an unrepeatable request and disconnects
    Then the endpoint sees its connection closed

  Scenario: An idempotent request is retried when its connection stays silent
    Given an endpoint with behavior "answer" once and then "silent" once
    When an idempotent request is answered and another one follows
    Then the caller receives the complete response
    And the endpoint was sent 3 requests over 2 connections

  Scenario: An unrepeatable request is never sent twice
    Given an endpoint with behavior "answer" once and then "silent" once
    When an unrepeatable request is answered and another one follows
    Then the caller is refused with 504 and "may-have-run"
    And the endpoint was sent 2 requests over 1 connections
    And a third request is answered over a new connection

  Scenario: When one connection is silent, idle ones to the same endpoint are replaced
    Given an endpoint with behavior "answer"
    When 3 requests are answered at once and all connections go silent
    And an unrepeatable request detects this and 3 more follow
    Then the 3 that follow are answered

  Scenario: A request whose connection closes without a response may have run
    Given an endpoint with behavior "close"
    When a caller sends an unrepeatable request
    Then the caller is refused with 502 and "may-have-run"
    And the endpoint was sent 1 requests over 1 connections

  Scenario: A request refused before it ran goes to another endpoint
    Given an endpoint with behavior "refuse" once and then "answer" once
    When a caller sends an unrepeatable request
    Then the caller receives the complete response

  Scenario: A request to an unreachable endpoint is refused with "not-run"
    Given an endpoint with behavior "unreachable"
    When a caller sends an unrepeatable request
    Then the caller is refused with 503 and "not-run"

  Scenario Outline: A response that was cut off never looks complete
    Given an endpoint with behavior "<behavior>"
    When a caller sends an idempotent request
    Then the caller can tell that the response was cut off

    Examples:
      | behavior    |
      | cut         |
      | cut chunked |

  Scenario: A request whose caller disconnects early never arrives complete
    Given an endpoint with behavior "answer"
    When a caller sends a part of a request and disconnects
    Then the endpoint has run no request

  Scenario: A body over the limit never arrives complete
    Given an endpoint with behavior "answer"
    When a caller sends a body over the limit in chunks
    Then the caller is refused with 413 and "may-have-run"
    And the endpoint has run no request

  Scenario: The remaining time until the deadline is sent with the request
    Given an endpoint with behavior "answer"
    When a caller sends an unrepeatable request
    Then the endpoint receives a timeout of "4.000"

  Scenario Outline: A caller on a socket can tell that the response was cut off
    Given a daemon's HTTP server before an endpoint with behavior "<behavior>"
    When a caller reads the response from a socket
    Then the connection ends before the response is complete

    Examples:
      | behavior    |
      | cut         |
      | cut chunked |

  Scenario: A caller on a socket receives the complete response
    Given a daemon's HTTP server before an endpoint with behavior "answer"
    When a caller reads the response from a socket
    Then the response is complete with the verdict "ran"
