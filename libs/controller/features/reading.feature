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

  # Thirty daemons that own nothing made most of the calls to the store.
  Scenario: Only owners read the directory of workers several times a second
    Given daemons with "2 1 1 1 1 1" cores and 2 workers
    When 20 seconds pass
    Then the directory has been read 150 to 240 times
