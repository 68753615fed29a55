Feature: Addresses and room of the server

  # Guards against an address that someone else holds and that stops all others.
  Scenario: An address that is taken doesn't keep the others from serving
    When one of two addresses is taken and becomes free later
    Then both addresses serve in the end, the other one all the time
    And the sentence "listener: Could not listen, trying again." is logged once
    And the sentence "listener: Listening." is logged twice

  # Guards against an address that ends the server as it can't be bound at all.
  Scenario Outline: The address <address> doesn't keep the others from serving
    When the server has the address <address> besides another one
    Then the other address serves
    And the sentence "listener: Could not listen, trying again." is logged once

    Examples:
      | address          |
      | 127.0.0.1:99999  |
      | 127.0.0.1:-1     |
      | 127.0.0.1:port   |
      | 127.0.0.1        |
      | 192.0.2.1:8080   |
      | [::1             |
      | a..b:1           |

  # Guards against a server that no longer accepts connections after an error.
  Scenario Outline: Accepting goes on after <error>
    When accepting a connection fails 3 times with <error>
    Then the client is served
    And the sentence "listener: Could not accept a connection, trying again." is logged <lines>

    Examples:
      | error        | lines   |
      | EMFILE       | once    |
      | ENFILE       | once    |
      | ENOBUFS      | once    |
      | ENOMEM       | once    |
      | ECONNABORTED | once    |
      | EPERM        | once    |
      | EBADF        | 3 times |
      | EINVAL       | 3 times |

  # Guards against descriptors of connections that could not be served.
  Scenario: A connection that can't be admitted is closed
    When admitting a connection fails
    Then the client sees the end of its connection
    And the sentence "listener: Could not accept a connection, trying again." is logged once

  # Guards against clients that use up the descriptors of the process.
  Scenario: A new connection takes the place of the one that is idle longest
    When 3 clients connect where there is room for 2
    Then the first connection is closed
    And the others are served

  # Guards against descriptors of connections that have made room for others.
  Scenario Outline: A connection that has sent <what> is closed as it makes room
    When a connection that has sent <what> makes room for another
    Then it has a place until it is closed, at once

    Examples:
      | what           |
      | nothing        |
      | half a head    |
      | nonsense       |
      | a request      |

  # Guards against a request in progress that loses its connection to others.
  Scenario: A connection beyond the room is refused while all others have requests
    When 3 clients connect where there is room for 2, and the first 2 have requests in progress
    Then the third gets a response with status 503 and a time to wait
    And the requests in progress are finished

  # Guards against readiness checks that fail as clients take all the room.
  Scenario: Each address keeps connections for itself
    When 20 clients with requests in progress crowd one address
    Then a client of the other address is served
