Feature: One connection can't end the server

  # Guards against an application's error that reaches other connections, or
  # that leaves no trace.
  Scenario Outline: An error of the application ends its connection only
    When the application raises <error> for one of two connections
    Then the first client gets a response with status 500
    And the second client gets its response
    And a log line names <error>

    Examples:
      | error              |
      | ValueError         |
      | MemoryError        |
      | RecursionError     |
      | ExceptionGroup     |
      | SystemExit         |
      | GeneratorExit      |
      | BaseExceptionGroup |
      | UnprintableError   |

  # Guards against an error that passes because it ends beside a cancellation.
  Scenario: Errors while the server is cancelled don't leave it
    When the server is cancelled and a request fails in its clean-up
    Then the server ends without an error
    And a log line names ValueError

  # Guards against an error of the transport that reaches other connections.
  Scenario: An unexpected error of a stream ends its connection only
    When a stream fails unexpectedly while another connection is served
    Then the second client gets its response
    And a log line names ZeroDivisionError

  # Guards against a client that chooses a protocol with faults of its own.
  Scenario Outline: <name> on the port is HTTP/1.1 or refused
    When a client sends the request <request>
    Then the response has status <status>
    And no line is logged

    Examples:
      | name         | request                                                               | status |
      | h2c          | GET /a HTTP/1.1 host:h connection:upgrade upgrade:h2c http2-settings:x | 200    |
      | A websocket  | GET /a HTTP/1.1 host:h connection:upgrade upgrade:websocket           | 200    |
      | HTTP/2       | PRI * HTTP/2.0                                                        | 505    |
      | A tunnel     | CONNECT /a HTTP/1.1 host:h                                            | 501    |
      | No HTTP      | nonsense                                                              | 400    |
      | Half a head  | GET /a HTTP/1.1 host:h connection                                     | 400    |

  # Guards against a daemon that can't stop while a client doesn't read.
  Scenario: A client that doesn't read can't keep the server from stopping
    When the server stops while a client doesn't read a long response
    Then the server has ended

  # Guards against connections that a client holds by not reading.
  Scenario: A client that doesn't read for too long is closed
    When a client doesn't read its response for 11 s
    Then its connection is closed
    And the application has finished "large"

  # Guards against descriptors that are held for clients which have left.
  Scenario Outline: A connection that its client <how> is closed at once
    When the client <how> an idle connection
    Then its connection is closed within 1 s

    Examples:
      | how    |
      | closes |
      | resets |

  # Guards against an accepted request that is lost with its connection.
  Scenario Outline: A request whose client <how> is finished
    When the client <how> its connection while its request is in progress
    Then the application is told of the disconnect
    And the application has finished "watch"

    Examples:
      | how         |
      | closes      |
      | resets      |
      | half-closes |

  # Guards against a client that loses its answer as it has sent all it will.
  Scenario: A client that half-closes gets its response
    When the client half-closes its connection while its request is in progress
    Then the response has status 200

  # Guards against a body that is used although it is incomplete.
  Scenario: A body that is cut off ends with a disconnect
    When a client closes its connection in the middle of a body
    Then the last message to the application is a disconnect

  # Guards against requests that are lost or answered out of order.
  Scenario: Pipelined requests are answered in order
    When 5 requests come at once
    Then it gets the 5 responses in order

  # Guards against a request that is refused after it has been carried out.
  Scenario Outline: A last request that <what> follows gets its response
    When <what> follows a request with the header "connection: close", <when>
    Then the response has status 200
    And the application has finished "wait"
    And its connection is closed

    Examples:
      | what            | when         |
      | a request       | at once      |
      | a request       | a bit later  |
      | a line end      | at once      |
      | a line end      | a bit later  |
      | nonsense        | at once      |
      | 1 MB            | a bit later  |

  # Guards against a deadlock between a body that waits and its response.
  Scenario: A response to a body that isn't read reaches its client
    When a long body comes that the application doesn't read
    Then the response has status 413

  # Guards against connections that are held without a request, or by half one.
  Scenario Outline: A client that sends <what> is closed after <seconds> s
    When a client falls silent after <what>
    Then its connection is closed within <seconds> s
    And the response has status <status>

    Examples:
      | what          | seconds | status |
      | nothing       | 30.1    | none   |
      | half a head   | 15.1    | 408    |
      | half a body   | 15.1    | 408    |
      | a request     | 30.1    | 200    |

  # Guards against lines about failures where only the client is at fault.
  Scenario Outline: The end of a request with <what> is no failure
    When a client that can't linger falls silent after <what>
    Then the response has status <status>
    And it is the only response
    And the application has finished "read"
    And no line is logged

    Examples:
      | what                   | status |
      | half a body            | 408    |
      | half a chunk           | 408    |
      | a malformed chunk      | 400    |

  # Guards against a slow upload that is cut off, and a trickle that isn't.
  Scenario Outline: A body at <rate> bytes a second <how>
    When a body of 200000 bytes comes at <rate> bytes a second
    Then the response has status <status>

    Examples:
      | rate | how            | status |
      | 5000 | arrives whole  | 200    |
      | 100  | is cut off     | 408    |

  # Guards against memory that closed connections keep until a collection.
  Scenario Outline: A connection that ends since <reason> frees its memory
    When a connection ends since <reason>, without garbage collection
    Then nothing of the connection is left

    Examples:
      | reason                            |
      | its client closes it              |
      | its client resets it              |
      | its client half-closes it         |
      | its client closes amid a body     |
      | its client asks for the end       |
      | its request is malformed          |
      | its body is malformed             |
      | its body isn't wanted             |
      | its request takes too long        |
      | it has been idle for too long     |
      | it makes room for another         |
      | the application fails             |
      | the stream fails                  |
      | the server is cancelled           |

  # Guards against bytes that are kept while a refused client has time to read.
  Scenario: A refused connection keeps no bytes while its client may read
    When a client sends 15000 bytes that are not HTTP, without garbage collection
    Then no parser is left while the connection lingers

  # Guards against clients that hold descriptors by not reading their refusals.
  Scenario: Only some of the refused clients have time to read
    When 3 clients send nonsense where 2 may linger
    Then 1 of them is closed at once and 2 later
