Feature: A server that stops answers what it has read

  # Guards against a request that ends without an answer and without a trace.
  Scenario: A request that is cancelled leaves a line with its path
    When the server is cancelled while a request is in progress
    Then a line says that "/wait" ends without an answer

  # Guards against a request that is said to be unanswered after its response.
  Scenario: A request that is answered leaves no line
    When the server is cancelled while a connection is idle after its request
    Then no line is logged
