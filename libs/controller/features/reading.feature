Feature: Reading the records of a partition

  Scenario: A read that fails half-way loses no records
    Given a partition with a job
    When the partition is read and the store fails after 1 reads
    And the partition is read again
    Then the job is known

  Scenario: A read that is cancelled half-way loses no records
    Given a partition with a job
    When the partition is read and cancelled after 1 reads
    And the partition is read again
    Then the job is known

  Scenario: The owner is told of a new job although the reader is cancelled
    Given a partition with a job
    And an owner that is slow to take note of changes
    When the partition is read and cancelled after 1 reads
    Then the owner is told of the job

  # A takeover during a peak read on for as long as clients submitted jobs.
  Scenario: Reading to the end ends although records keep coming
    Given a partition with a job
    And a new job is stored during each read
    When the partition is read for 2 seconds at most
    Then it has been read to the end of the time when the read began

  # A daemon that had been cut off kept jobs that were removed meanwhile, and
  # would have run them again as owner.
  Scenario: A job that was removed while nothing could be read is forgotten
    Given a partition with a job
    When the partition is read again
    And the job is removed and its records expire
    And the partition is read again
    Then the job is unknown

  # Pattern: hundreds of daemons, most of which own nothing and made most of the
  # calls to the store.
  Scenario: A daemon that owns nothing reads seldom, an owner often
    Given daemons with "2 1 1 1 1 1" cores and 2 workers
    When the reads of 20 seconds are counted
    Then each owner has read the directory at least 70 times
    And a daemon that owns nothing has read the directory at most 5 times
    And a daemon that owns nothing has read the fleet partition at most 81 times
    And a daemon that owns nothing has read the other partitions at most 12 times
    And a daemon that owns nothing has read the operators' topic at most 34 times

  # Guards against a server that has left and is in use again.
  Scenario: A worker that left while nothing could be read is forgotten
    Given a directory with the records "w0=x w1=x"
    When the directory is read
    Then the workers "w0 w1" are known
    When the records "w0= w1=x" are added and the former ones expire
    And the directory is read
    Then the workers "w1" are known

  # Another program may write to the directory.
  Scenario Outline: Of several records of a worker the newest valid one counts
    Given a directory with the records "w0=x w1=x"
    When the directory is read
    And the records "<records>" are added
    And the directory is read
    Then the workers "<known>" are known

    Examples:
      | records           | known    |
      | w2=x w2=invalid   | w0 w1 w2 |
      | w0= w0=invalid    | w1       |
      | w0=invalid w0=x   | w0 w1    |
      | w0=x w0=          | w1       |

  # Guards against an owner that starts tasks on a worker which has announced
  # that it drains.
  Scenario: A daemon reads the directory at once when it becomes an owner
    Given 3 daemons and 2 workers
    When the owner of the pool is killed
    And 5 seconds pass until a daemon owns the pool
    Then that daemon read the directory within 0.1 s of its claim

  # A fleet's owner began its term before it had read which partitions pools have.
  Scenario: The fleet's records are read to their end
    Given a store that returns one record a read
    When three pools are assigned and the fleet's records are read once
    Then all three pools have their partition

  # A daemon that had been cut off took a reopened VM for one that is drained.
  Scenario: A drain request withdrawn while nothing could be read is forgotten
    Given a store that returns one record a read
    When a drain is requested and the fleet's records are read once
    And it is withdrawn, records expire and the fleet's records are read again
    Then no VM is to be drained

  # Guards against a pool without an owner for as long as all other partitions
  # are read, or for ever: behind a narrow link every read timed out.
  Scenario Outline: After a restart an owner reads its own partition first
    Given <partitions> partitions of <size> MB behind a link of 1 MB a second, which all feeds of a daemon read
    When the daemon becomes the owner of one of them after 0.5 s
    Then that partition is read within <seconds> s

    Examples:
      | partitions | size | seconds |
      | 6          | 2    | 7       |
      | 11         | 1    | 3.5     |

  # Guards against a daemon that loses its partitions, and is not ready, while
  # it reads the records of others.
  Scenario: Other calls are answered while all partitions are read
    Given 11 partitions of 1 MB behind a link of 1 MB a second, which all feeds of a daemon read
    When the daemon joins a group until all are read
    Then all are read within 13 s and no join has failed

  # Guards against partitions that are not read for as long as others can't be.
  Scenario: Partitions that can't be read do not hold up the others
    Given 11 partitions of 1 MB behind a link of 1 MB a second, which all feeds of a daemon read
    When partitions "1 2 3" can not be read, and the others are
    Then these are read within 25 s

  # Guards against a daemon that never reads its partitions after a client gave up.
  Scenario: Queries that give up while they wait hold up no read
    Given 11 partitions of 1 MB behind a link of 1 MB a second, which all feeds of a daemon read
    When queries of all partitions give up after 0.3 s, and all are read
    Then these are read within 13.5 s

  # Guards against an owner that goes by an old directory, or by drain requests
  # that were withdrawn, until something else changes.
  Scenario: A change of the view while the last one is passed on is not missed
    Given an owner that is told of changes of the view
    When the view changes twice, the second time as the owner takes note
    Then the owner is told of both changes

  # Guards against tasks that are started again while they run, as the row of their
  # VM in the list can't be read.
  Scenario Outline: A list with a row that can't be read proves no worker over
    When an owner without contact to a worker lists the VMs of the workers "<workers>"
    Then it gets <listings> listings

    Examples:
      | workers | listings |
      | w1 w2   | 1        |
      | w1 ?    | 0        |

  # Guards against a fleet without maintenance while one row of the list of VMs
  # can't be read, and against a wave that ends without a VM whose row that is.
  Scenario Outline: A row that can't be read holds up no other VM of a wave
    Given a fleet of 5 VMs, and a wave of "m-w0 m-w1 m-w2 m-w3", 2 at once
    When the row of "<vm>" can not be read for 40 s
    And the rows can be read for 20 s
    Then by then "<maintained>" were maintained, up to <down> at once
    And the wave was <state> then
    And in the end "m-w0 m-w1 m-w2 m-w3" were maintained once, and the wave was complete

    Examples:
      | vm   | maintained          | down | state    |
      | m-w1 | m-w0 m-w2 m-w3      | 1    | open     |
      | m-w4 | m-w0 m-w1 m-w2 m-w3 | 2    | complete |
