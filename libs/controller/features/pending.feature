Feature: The number of pending jobs

  # Guards against jobs that are left out of the count though nothing of them has
  # run: they counted as begun once they had a worker.
  Scenario: Jobs whose starts are rejected stay pending until one is accepted
    Given 2 daemons, and 2 workers that can restart under their ids, with tasks of 3 s
    When the workers refuse all starts
    And a job of 2 tasks is submitted
    And a job of 3 tasks is submitted
    And 3 seconds pass
    Then each daemon counts 2 jobs as pending
    When the workers accept all starts
    And 2.5 seconds pass
    Then each daemon counts 0 jobs as pending

  # Guards against jobs that count as begun while nobody knows of a run.
  Scenario: Jobs whose starts get no answer stay pending
    Given 2 daemons, and 1 workers that can restart under their ids, with tasks of 3 s
    When start orders to worker "w0" are held back
    And a job of 2 tasks is submitted
    And 3 seconds pass
    Then each daemon counts 1 jobs as pending
    When start orders are held back no more
    And the owner of the pool is killed
    And 9 seconds pass
    Then each daemon counts 0 jobs as pending
