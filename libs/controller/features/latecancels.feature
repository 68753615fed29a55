Feature: Cancellations of jobs whose submissions are stored late

  An append without an answer may be carried out seconds later, when the job's
  client has been told that there is no such job.

  # Guards against a job that starts after its cancellation was acknowledged: a
  # daemon that knew no such job left nothing that a late submission would meet.
  Scenario Outline: A submission that is stored after its cancellation runs nothing
    Given 2 daemons and a store that may be late
    When a client submits a job whose append is late, and leaves
    And a client cancels the job at <where>, which is answered with "gone"
    And the late append is carried out
    Then the job has not run

    Examples:
      | where            |
      | one daemon       |
      | the other daemon |

  # Guards against a cancellation that only the daemons know that took it.
  Scenario: It runs nothing after a restart of all daemons
    Given 2 daemons and a store that may be late
    When a client submits a job whose append is late, and leaves
    And a client cancels the job at the other daemon, which is answered with "gone"
    And all daemons are restarted
    And the late append is carried out
    Then the job has not run

  # Guards against a restart that revives what was cancelled.
  Scenario: It runs nothing when all daemons are restarted behind it
    Given 2 daemons and a store that may be late
    When a client submits a job whose append is late, and leaves
    And a client cancels the job at the other daemon, which is answered with "gone"
    And the late append is carried out
    And 1 seconds pass
    And all daemons are restarted
    Then the job has not run

  # Guards against a job that is lost, as it counts as cancelled in advance.
  Scenario Outline: The same job that is submitted again after that is run
    Given 2 daemons and a store that may be late
    When a client submits a job whose append is late, and leaves
    And a client cancels the job at the other daemon, which is answered with "gone"
    And the same job is submitted again at <where>
    Then the job has run once and each daemon says "completed"

    Examples:
      | where            |
      | one daemon       |
      | the other daemon |

  # Guards against a late submission that replaces the one that counts.
  Scenario: A late submission does not undo the one after the cancellation
    Given 2 daemons and a store that may be late
    When a client submits a job whose append is late, and leaves
    And a client cancels the job at one daemon, which is answered with "gone"
    And the same job is submitted again at the other daemon
    And the late append is carried out
    And all daemons are restarted
    Then the job has run once and each daemon says "completed"

  # Guards against a cancelled job that runs, as the submission after its first
  # cancellation is late as well.
  Scenario: A second cancellation meets the second submission
    Given 2 daemons and a store that may be late
    When a client submits a job whose append is late, and leaves
    And a client cancels the job at one daemon, which is answered with "gone"
    And a client submits the same job, whose append is late, and leaves
    And a client cancels the job at the other daemon, which is answered with "gone"
    And the late append is carried out
    Then the job has not run

  # Guards against a job that is lost, as a cancellation that its client had to
  # repeat is stored once more behind the next submission.
  Scenario: A late copy of a cancellation does not cancel the next submission
    Given 2 daemons and a store that may be late
    When a client submits a job whose append is late, and leaves
    And a client cancels the job while appends are late, and leaves
    And a client cancels the job at the other daemon, which is answered with "gone"
    And the same job is submitted again at the other daemon
    And the late append is carried out
    Then the job has run once and each daemon says "completed"

  # Guards against a late submission in the partition that its queue has left, and
  # against one that is forwarded and counts as cancelled where it gets.
  Scenario Outline: Submissions and cancellations meet though the queue moves, <case>
    Given 3 daemons, the pools "pool b" and a store that may be late
    And daemon 0 reads no configuration for <seconds> seconds
    When a client submits a job whose append is late, and leaves
    And the queue moves to "b" at once
    And 2 seconds pass
    And a client cancels the job at the other daemon, which is answered with "gone"
    And the late append is carried out
    Then the job has not run

    Examples:
      | case            | seconds |
      | known to all    | 0.1     |
      | known to others | 6       |

  # Guards against a job that is lost, as the new partition knows its cancellation.
  Scenario: A forwarded submission covers what it covered before
    Given the records of a job that was cancelled early in two partitions
    When a submission that covers this is forwarded from one to the other
    Then the job is known there
    And nothing is left where it was once it is removed

  # Guards against a job that is lost while its queue moves.
  Scenario: A job that is submitted again where the move is not known is run
    Given 3 daemons, the pools "pool b" and a store that may be late
    And daemon 0 reads no configuration for 9 seconds
    When a client submits a job whose append is late, and leaves
    And the queue moves to "b" at once
    And 2 seconds pass
    And a client cancels the job at the other daemon, which is answered with "gone"
    And the same job is submitted again at one daemon
    And 8 seconds pass
    Then the job has run once and each daemon says "completed"

  # Guards against a tenant that cancels the jobs of others in advance.
  Scenario: A cancellation binds the submissions of its tenant only
    Given 2 daemons with tenants and a store that may be late
    When a client of tenant "a" submits a job whose append is late, and leaves
    And a client of tenant "b" cancels the job at the other daemon, which is answered with "gone"
    And the late append is carried out
    Then each daemon says "queued"

  # Guards against a cancellation that is lost, as another tenant's replaces it.
  Scenario: A cancellation of another tenant replaces none
    Given 2 daemons with tenants and a store that may be late
    When a client of tenant "a" submits a job whose append is late, and leaves
    And a client of tenant "a" cancels the job at the other daemon, which is answered with "gone"
    And a client of tenant "b" cancels the job at one daemon, which is answered with "gone"
    And the late append is carried out
    Then each daemon says "gone"

  # Guards against cancellations of unknown ids that fill daemons and store.
  Scenario: Unknown jobs that are cancelled by the hundred cost little
    Given 2 daemons and a store that may be late
    When clients cancel 300 unknown jobs at once
    Then all are answered within 1 s
    And each job that is submitted meanwhile runs

  Scenario: Early cancellations are bounded
    Given 2 daemons and a store that may be late
    When clients cancel 4000 unknown jobs at once
    Then no more are stored than are kept, and the others are told to come back
    And each job that is submitted meanwhile runs

  # Guards against a void submission that counts once its cancellation is gone.
  Scenario: Early cancellations are removed with the submissions they made void
    Given 2 daemons and a store that may be late
    When a client submits a job whose append is late, and leaves
    And a client cancels the job at the other daemon, which is answered with "gone"
    And the late append is carried out
    Then nothing is left of early cancellations after 130 s
