Feature: A server that stops answers what it has read

  # Guards against a request that ends without an answer and without a trace.
  Scenario: A request that is cancelled leaves a line with its path
    When the server is cancelled while a request is in progress
    Then a line says that "/wait" ends without an answer

  # Guards against a request that is said to be unanswered after its response.
  Scenario: A request that is answered leaves no line
    When the server is cancelled while a connection is idle after its request
    Then no line is logged

  # Guards against requests behind another one that get nothing when the server stops.
  Scenario Outline: Requests behind another one are answered, whenever the first is done
    When 3 requests come at once and the first is done <moment>
    Then they get responses with status <statuses>, the last with "connection: close"

    Examples:
      | moment                              | statuses      |
      | as the server begins to stop        | 200, 200, 200 |
      | when new requests are rejected      | 200, 503, 503 |
      | never                               | 503, 503, 503 |

  # Guards against a request in progress that ends with its server, without an answer.
  Scenario Outline: A <request> that is not done in time gets the status <status>
    When a <request> is not done when the server stops
    Then the response has status <status>
    And its connection is closed
    And a line says that "<line>" was answered before it was done

    Examples:
      | request                     | status | line           |
      | GET request                 | 503    | GET /wait 503  |
      | POST request                | 504    | POST /wait 504 |
      | POST request without an end | 503    | POST /wait 503 |

  # Guards against a client that sends more, as no response says that it is the last.
  Scenario Outline: A response says whether it is the last of its connection
    When a response is sent <moment>
    Then its header says <header>

    Examples:
      | moment                                        | header            |
      | before the server stops                       | nothing           |
      | after the server begins to stop               | connection: close |
      | after the server begins to stop, before a request | nothing       |
      | after a body that was refused                 | connection: close |
      | as the application fails                      | nothing           |

  # Guards against a kept connection that is closed while its client sends.
  Scenario Outline: A kept connection is served until the server ends
    When a client sends its second request on a connection <moment>
    Then the response has status <status>
    And its header says connection: close
    And its connection is closed

    Examples:
      | moment                             | status |
      | when the server begins to stop     | 200    |
      | when new requests are rejected     | 503    |
      | when all requests are answered     | 503    |

  # Guards against requests dropped behind the last request that a connection may have.
  Scenario: The request behind the last one that a connection may have is answered
    When 1001 requests come on one connection, the last two at once
    Then it gets the 1001 responses in order

  # Guards against a partial request that holds up the end of a server, or gets no answer.
  Scenario: Half a head is refused when the server ends
    When a client has sent half a head when the server ends
    Then the response has status 503
    And its connection is closed

  # Guards against requests that no line names, as a stop rejects many at once.
  Scenario: The log names all requests that a stop rejects, many in a line
    When 60 requests come while new ones are rejected
    Then 3 lines name the 60 rejected requests

  # Guards against an answer that is cut, as its request is concluded in the same turn.
  Scenario: An answer that is ready as its request is concluded reaches the client
    When the application can answer in the turn in which all requests are answered
    Then the response has status 200
    And no line says that a request was answered before it was done

  # Guards against a "not run" for a request on which the application acts before its end.
  Scenario: A request without an end that the application acts on may have run
    When a POST request without an end is not done and not waited for when the server stops
    Then the response has status 504

  # Guards against a limit of time that neither reads what has arrived nor ends, and spins.
  Scenario: A request that arrives at the limit of an idle connection is answered
    When a request arrives in the turn in which its idle connection is to close
    Then the response has status 200

  # Guards against a request that is read from a connection that makes room for another.
  Scenario: A connection whose client has sent a request makes no room for another
    When room is made in the turn in which a request arrives
    Then the response has status 200

  # Guards against the requests of a slow event loop, for which all stages come at once.
  Scenario: Requests behind another one are answered by a server that is late for its stages
    When 6 requests come at once and the event loop stands still over all stages but the last
    Then they get 6 responses, the last with "connection: close"

  # Guards against a request that gets nothing, as the application fails between head and body.
  Scenario: An error of the application behind the head of its response is answered
    When the application fails behind the head of its response
    Then the response has status 500

  # Guards against connections that are reset, as a late server closes its listeners first.
  Scenario: Connections that wait to be accepted are served by a server that is late for its stages
    When 10 clients connect while the event loop stands still until the connections have to close
    Then each of them gets status 503

  # Guards against a read request of a client that never pauses, cut as the server ends.
  Scenario: A client that sends without end gets an answer to all that was read
    When a client sends requests without end until the server ends
    Then no line says that a request ends without an answer
