Feature: Promises under failure

  Every trial runs a maintenance wave over six VMs while one fault lasts.  At
  the same time clients send requests to every entry VM, two unrepeatable jobs
  run and a third starts, an operator changes settings, and a daemon is asked to
  stop.

  Scenario Outline: The availability budget holds (<fault>)
    Given the trial under "<fault>"
    Then the wave finished and each VM was rebooted once
    And at most 2 VMs were unavailable at each drain

    Examples: under
      | fault               |
      | kill                |
      | freeze              |
      | zone cut            |
      | log outage          |
      | slow platform       |
      | lost answers        |
      | racing operators    |
      | rack failure        |
      | mute endpoint       |
      | silent endpoint     |
      | failing endpoint    |
      | truncating endpoint |

  Scenario Outline: Each VM is in one pool (<fault>)
    Given the trial under "<fault>"
    Then every entry VM always listed each VM in one pool

    Examples: under
      | fault               |
      | kill                |
      | freeze              |
      | zone cut            |
      | log outage          |
      | slow platform       |
      | lost answers        |
      | racing operators    |
      | rack failure        |
      | mute endpoint       |
      | silent endpoint     |
      | failing endpoint    |
      | truncating endpoint |

  Scenario Outline: Callers get whole answers to their own requests (<fault>)
    Given the trial under "<fault>"
    Then every response was complete and matched its request

    Examples: under
      | fault               |
      | kill                |
      | freeze              |
      | zone cut            |
      | log outage          |
      | slow platform       |
      | lost answers        |
      | racing operators    |
      | rack failure        |
      | mute endpoint       |
      | silent endpoint     |
      | failing endpoint    |
      | truncating endpoint |

  Scenario Outline: Not run is true (<fault>)
    Given the trial under "<fault>"
    Then no request that was refused as not run had started

    Examples: under
      | fault               |
      | kill                |
      | freeze              |
      | zone cut            |
      | log outage          |
      | slow platform       |
      | lost answers        |
      | racing operators    |
      | rack failure        |
      | mute endpoint       |
      | silent endpoint     |
      | failing endpoint    |
      | truncating endpoint |

  Scenario Outline: Unrepeatable requests run at most once (<fault>)
    Given the trial under "<fault>"
    Then no idempotency key ran twice

    Examples: under
      | fault               |
      | kill                |
      | freeze              |
      | zone cut            |
      | log outage          |
      | slow platform       |
      | lost answers        |
      | racing operators    |
      | rack failure        |
      | mute endpoint       |
      | silent endpoint     |
      | failing endpoint    |
      | truncating endpoint |

  Scenario Outline: Unrepeatable jobs run at most once and do not vanish (<fault>)
    Given the trial under "<fault>"
    Then no job had two attempts
    And every job has ended, is unknown or is set aside

    Examples: under
      | fault               |
      | kill                |
      | freeze              |
      | zone cut            |
      | log outage          |
      | slow platform       |
      | lost answers        |
      | racing operators    |
      | rack failure        |
      | mute endpoint       |
      | silent endpoint     |
      | failing endpoint    |
      | truncating endpoint |

  Scenario Outline: A leaving endpoint gets no new work after 3 s (<fault>)
    Given the trial under "<fault>"
    Then no endpoint received work later than 3 s after its drain

    Examples: under
      | fault               |
      | kill                |
      | freeze              |
      | zone cut            |
      | log outage          |
      | slow platform       |
      | lost answers        |
      | racing operators    |
      | rack failure        |
      | mute endpoint       |
      | silent endpoint     |
      | failing endpoint    |
      | truncating endpoint |

  Scenario Outline: Planned stops cut nothing (<fault>)
    Given the trial under "<fault>"
    Then no planned action interrupted a request or a task
    And the daemon that was asked to stop completed its request

    Examples: under
      | fault               |
      | kill                |
      | freeze              |
      | zone cut            |
      | log outage          |
      | slow platform       |
      | lost answers        |
      | racing operators    |
      | rack failure        |
      | mute endpoint       |
      | silent endpoint     |
      | failing endpoint    |
      | truncating endpoint |

  Scenario Outline: Accepted settings are in force within 18 s and never revert (<fault>)
    Given the trial under "<fault>"
    Then the change was active on every entry VM within 18 s
    And no entry VM returned to an older version
    And each race had one winner

    Examples: under
      | fault               |
      | kill                |
      | freeze              |
      | zone cut            |
      | log outage          |
      | slow platform       |
      | lost answers        |
      | racing operators    |
      | rack failure        |
      | mute endpoint       |
      | silent endpoint     |
      | failing endpoint    |
      | truncating endpoint |
