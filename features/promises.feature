Feature: Promises under failure

  Every trial is a maintenance wave over six VMs, with callers at every entry
  VM, two unrepeatable jobs, an operator who changes settings, and a daemon
  that is asked to stop, all while one fault lasts.

  Scenario Outline: The availability budget holds (<fault>)
    Given the trial under "<fault>"
    Then the wave ended with each VM rebooted once
    And at most 2 VMs were away at each planned act

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
    Then every entry VM always showed each VM in one pool

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
    Then every answer was whole and its caller's own

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
    Then no request ran that was refused as not run

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
    Then no key ran twice

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
    And every job has ended or is shown in doubt

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
    Then no endpoint got work later than 3 s after its drain

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
    Then no planned act cut a request or a task
    And the daemon that was asked to stop cut nothing

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
    Then the change was in force everywhere within 18 s
    And no entry VM showed an older version again
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
