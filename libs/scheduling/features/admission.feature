Feature: Admission of jobs by their expected wait

  # Guards against a forecast that counts work which new jobs pass: a peak of five
  # times the mean for 10 s (46 jobs a second) in a pool that lacks VMs for about
  # two seconds.
  Scenario: A peak for which the VMs arrive within seconds rejects no job
    Given a pool with up to 80 VMs, with seed 1
    When a peak of 10 s is played with admission
    Then no job is rejected

  # Guards against the rejection of a job that would have been in time: the same
  # peak with a sixth of the VMs that it needs.  Seed 8 is one with which jobs are
  # rejected at all.
  Scenario: In a pool that lacks VMs, only jobs that are worth nothing are rejected
    Given a pool with up to 16 VMs, with seed 8
    When a peak of 10 s is played with admission and without
    Then as many jobs are in time, and a larger part of the accepted ones
    And no rejected job would have been worth anything

  # Guards against a wait that counts deferred jobs, which new jobs pass.
  Scenario: A new job waits for urgent work, but not for deferred jobs
    Given a pool of 10 cores that is full for 3 s
    And jobs with 40 core seconds of priority 0, 20 on time and 90 deferred of priority 1
    Then a queue of priority 1 waits 6 s and one of priority 0 waits 4 s

  # Guards against rejections while VMs are on their way.
  Scenario: A pool that just became full, has room or grows has no waits
    Then a pool has waits only after 2 s in which it was full and did not grow

  # Guards against a tenant that is rejected for the backlog of another one.
  Scenario: Only a tenant beyond its share has a wait of its own
    Given a pool of 10 cores that is full for 3 s
    And tenant "a" with 90 core seconds on time and tenant "b" with 10, of equal weight
    Then tenant "a" waits 10 s, and tenant "b" as long as the queue

  Scenario Outline: Only a job that is certainly hopeless is rejected
    Given waits of <wait> s, with <free> millicores free
    When a <kind> job with a chain of 1 s and an objective of 2.2 s is submitted
    Then the submission is <outcome>

    Examples:
      | kind      | wait | free | outcome  |
      | short     | 8.3  | 0    | admitted |
      | short     | 8.4  | 0    | rejected |
      | short     | 99   | 1000 | admitted |
      | short     | 0    | 0    | admitted |
      | permanent | 99   | 0    | admitted |
      | scheduled | 99   | 0    | admitted |

  # Guards against clients that all come back at once.
  Scenario: Times to come back are spread, and larger jobs come back later
    Then 100 clients come back at 5 or more different seconds, the first after 10 s
    And a job of 100 times the work comes back later
    And no client is told less than 1 s

  # Guards against figures that are old: stored before an outage, before the
  # reader started, or by a former owner.
  Scenario: Only a figure that is being written counts, for a second
    Then a figure read once does not count
    And one that is read again within a second counts for a second
    And after 2 s without a read the next one does not count
    And a clearing record ends it, and a former owner's record does not count
