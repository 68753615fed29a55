Feature: Errors in the tasks of a daemon

  # Guards against an end of the process: an error of one component passed to the
  # nursery of the process.
  Scenario: Each task that fails starts again
    When each task of a daemon fails once
    Then each of them runs again, and a line of each says so

  # Guards against decisions on a state that holds a part of the entries.
  Scenario: A journal that can't apply an entry halts, and the daemon goes on
    When an entry of the log can't be applied
    Then the journal has halted, and 1 line says that "log reader" failed

  # Guards against changes of VMs that are left out.
  Scenario: A list of VMs that was merged in part is requested again
    When a list of 2 VMs is read, and merging it fails once after 1 VM
    Then both VMs are known, and 1 line says that "watcher" failed

  # Guards against requests to a VM that is leaving.
  Scenario: While the endpoints can't be updated none gets new requests
    When the endpoints of 2 VMs can be updated, then fail once and are updated
    Then the pool had 2, 0 and 2 endpoints

  # A second error left the other pools with VMs that were leaving.
  Scenario: A pool whose endpoints can't be withdrawn keeps no other pool's
    When the endpoints of 3 pools can't be updated, and 1 can't be withdrawn
    Then the 2 other pools have no endpoints
    And the pool has none either after the next update
