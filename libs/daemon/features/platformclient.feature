Feature: Responses of the platform to the daemon

  # Guards against a daemon that ends, as a response is not what it should be.
  Scenario Outline: An invalid response fails the call, not the daemon
    Given a platform that responds with <status> and <body>
    Then a call of the log and one of the fleet fail as calls of the platform

    Examples:
      | status | body                    |
      | 200    | text                    |
      | 200    | nothing                 |
      | 200    | 5000 nested lists       |
      | 200    | a number of 9000 digits |
      | 200    | rows of other types     |
      | 410    | text                    |

  # A request got the response to another one: those of callers were mixed up.
  Scenario Outline: A connection that carries more than a response is not used again
    Given a server that sends a second response behind each
    When 3 requests are sent through <client>
    Then each gets the response to itself

    Examples:
      | client                       |
      | the connections of endpoints |
      | the client of the platform   |
