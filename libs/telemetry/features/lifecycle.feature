Feature: A daemon says why it ends

  # Guards against a daemon that ends by an error without a line in its log.
  Scenario Outline: A daemon that ends by an error logs the error and its trace
    When a daemon runs whose program <program>
    Then it ends with exit code 70
    And its last log line has exit code 70 and the cause "<cause>"
    And standard error says "<trace>"

    Examples:
      | program                       | cause                     | trace        |
      | fails                         | ValueError: no luck       | in main      |
      | can't be imported             | ModuleNotFoundError       | import       |
      | runs out of memory            | MemoryError               | MemoryError  |
      | fails in a way beyond words   | Unprintable:             | in main      |
      | fails at great length         | ValueError: żżż           | in main      |
      | can't start a thread          | can't start new thread    | in start     |
      | fails in a task               | ValueError: no luck       | in fail      |
      | logs a lot before it fails    | ValueError: after lines   | in main      |
      | ends without having been told | without a signal          | all tasks    |

  # Guards against a daemon that never ends, as its last line can't be written.
  Scenario: A log that nobody reads does not keep a daemon from ending
    When a daemon whose log nobody reads logs a lot before it fails
    Then it ends with exit code 70

  # Guards against an exit code that says less than the program did.
  Scenario: The exit code of a program that exits is kept
    When a daemon runs whose program exits with code 5
    Then it ends with exit code 5
    And its last log line has exit code 5 and the cause "exited: 5"

  # Guards against a signal that ends the process without a line.
  Scenario Outline: A signal to stop that comes during the start ends the daemon as asked
    When a daemon sends itself <signal> while its program is imported
    Then it ends with exit code 0
    And its last log line has exit code 0 and the cause "<signal> during the start"

    Examples:
      | signal  |
      | SIGTERM |
      | SIGINT  |
      | SIGQUIT |

  # Guards against signals that get lost, or that disturb the end of a daemon.
  Scenario: Signals in series stop the daemon once
    When a daemon runs whose program gets signals in series
    Then it ends with exit code 0
    And its last log line has exit code 0 and the cause "SIGTERM"
    And it has received SIGHUP, SIGUSR1, SIGUSR2, SIGALRM, SIGVTALRM, SIGPROF, SIGIO, SIGXCPU, SIGTERM

  # Guards against a stop that something delays for ever.
  Scenario Outline: A daemon that can't stop in time ends and says what was running
    When a daemon runs whose program <program>
    Then it ends with exit code 124
    And its last log line has exit code 124 and the cause "took too long"
    And it names "<running>" as running

    Examples:
      | program               | running  |
      | can't be cancelled    | stuck at |
      | blocks its event loop | in block |

  # Guards against lines behind the last one, so that the last says nothing of the end.
  Scenario: Nothing is logged behind the last line of a daemon that still works
    When a daemon runs whose program logs without end
    Then it ends with exit code 124
    And its last log line has exit code 124 and the cause "took too long"

  # Guards against a daemon that neither works nor ends, and doesn't say why.
  Scenario: An error is logged at once, and the process ends though a task hangs
    When a daemon runs whose program can't be cancelled and fails
    Then it ends with exit code 124
    And its last log line has exit code 124 and the cause "took too long"
    And it names "stuck at" as running
    And an earlier log line names the error "no luck"

  # Guards against log lines in a file or a socket that got the number of a
  # standard stream, and against a daemon that doesn't start without them.
  Scenario Outline: A daemon without <streams> writes its log to what is left, and nowhere else
    When a daemon without <streams> runs that opens a file, logs and fails
    Then it ends with exit code 70
    And the file is empty
    And <log> has a last line with the cause "ValueError"

    Examples:
      | streams                                         | log             |
      | standard output                                 | standard error  |
      | standard error                                  | standard output |
      | standard input and output                       | standard error  |
      | standard input and output and error             | nothing         |
