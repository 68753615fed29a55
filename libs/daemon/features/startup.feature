Feature: Start and end of the daemon

  # Guards against a daemon that ends without a line that says why.
  Scenario Outline: The last log line of a daemon says why it ended
    Given a daemon that reads its settings from a pipe
    When it is given <settings> settings and then <signals>
    Then its exit code is <code>, and its last log line names "<cause>"

    Examples:
      | settings | signals                           | code | cause                    |
      | invalid  | nothing                           | 2    | invalid settings         |
      | no       | SIGTERM                           | 0    | SIGTERM during the start |
      | no       | SIGINT                            | 0    | SIGINT during the start  |
      | valid    | SIGTERM                           | 0    | SIGTERM                  |
      | valid    | SIGHUP, SIGUSR1, SIGALRM, SIGTERM | 0    | SIGTERM                  |
