Feature: The HTTP server outlives its requests

  # Guards against a daemon that ends when the deadline of a request passes just
  # as its response begins.
  Scenario: A response whose deadline passes as it begins ends only its connection
    Given a daemon's HTTP server
    When the deadline of a request passes as its response begins
    Then the connection ends before the response is complete
    And the next request gets a complete response
