Feature: The request router keeps its invariants under any events

  Scenario: Random event streams
    Then 200 random streams of 40 events violate no invariant

  # Guards against one request that takes down endpoint after endpoint, as each
  # broken connection sends it to the next one.
  Scenario: An idempotent request that breaks its endpoints is given up
    Given a router with 8 endpoints and retries in reserve
    When an idempotent request arrives and each endpoint breaks its connection
    Then it was sent 3 times
    And it is refused as "may-have-run"

  Scenario: A request that endpoints refuse or never get is not given up for that
    Given a router with 8 endpoints and retries in reserve
    When an idempotent request arrives and 5 endpoints are not reached
    Then it was sent 6 times
