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
