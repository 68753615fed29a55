Feature: What happens to a request between its caller and an endpoint

  Scenario: A caller that leaves ends the request at the endpoint
    Given an endpoint that is "silent"
    When a caller sends an unrepeatable request and leaves
    Then the endpoint sees its connection closed

  Scenario: An idempotent request survives a connection that has gone silent
    Given an endpoint that is "answer" once and then "silent" once
    When an idempotent request is answered and another one follows
    Then the caller has the whole answer
    And the endpoint was sent 3 requests over 2 connections

  Scenario: An unrepeatable request is never sent twice
    Given an endpoint that is "answer" once and then "silent" once
    When an unrepeatable request is answered and another one follows
    Then the caller is refused with 504 and "may-have-run"
    And the endpoint was sent 2 requests over 1 connections
    And a third request is answered over a new connection

  Scenario: When one connection is found silent its idle fellows are replaced
    Given an endpoint that is "answer"
    When 3 requests are answered at once and all connections go silent
    And an unrepeatable request finds it out and 3 more follow
    Then the 3 that follow are answered

  Scenario: A connection closed without an answer is no proof that nothing ran
    Given an endpoint that is "close"
    When a caller sends an unrepeatable request
    Then the caller is refused with 502 and "may-have-run"
    And the endpoint was sent 1 requests over 1 connections

  Scenario: A request refused before it ran goes to another endpoint
    Given an endpoint that is "refuse" once and then "answer" once
    When a caller sends an unrepeatable request
    Then the caller has the whole answer

  Scenario: An endpoint that is not reached is refused with "not-run"
    Given an endpoint that is "away"
    When a caller sends an unrepeatable request
    Then the caller is refused with 503 and "not-run"

  Scenario Outline: A cut answer is never passed off as whole
    Given an endpoint that is "<manner>"
    When a caller sends an idempotent request
    Then the caller is told that the answer was cut

    Examples:
      | manner      |
      | cut         |
      | cut chunked |

  Scenario: A request that its caller breaks off never arrives whole
    Given an endpoint that is "answer"
    When a caller sends a part of a request and leaves
    Then the endpoint has run nothing

  Scenario: A body over the limit never arrives whole
    Given an endpoint that is "answer"
    When a caller sends a body over the limit in pieces
    Then the caller is refused with 413 and "may-have-run"
    And the endpoint has run nothing

  Scenario: The rest of the deadline goes with the request
    Given an endpoint that is "answer"
    When a caller sends an unrepeatable request
    Then the endpoint was told a timeout of "4.000"

  Scenario Outline: A caller on a socket sees that its answer was cut
    Given a daemon's HTTP server before an endpoint that is "<manner>"
    When a caller reads the answer from a socket
    Then the connection ends before the answer is complete

    Examples:
      | manner      |
      | cut         |
      | cut chunked |

  Scenario: A caller on a socket gets a whole answer
    Given a daemon's HTTP server before an endpoint that is "answer"
    When a caller reads the answer from a socket
    Then the answer is complete with its verdict "ran"
