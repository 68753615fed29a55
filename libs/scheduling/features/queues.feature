Feature: Finding the queue of a request

  # Guards against a look-up that finds another queue than the scan of all
  # prefixes, longest first, that it replaced.
  Scenario: The queue with the longest prefix of the path is found
    Given sets of queues with prefixes that overlap, also of equal names
    Then each look-up returns the queue that a scan of all prefixes returns

  # Guards against requests that take longer with each queue of their host.
  Scenario: A look-up does not take longer with the number of queues
    Given a host with 1400 queues whose prefixes have 4 lengths
    When the last queue and an unknown path are looked up
    Then each look-up has examined the path at most 5 times
