Feature: At-most-once execution across entry VMs

  Background:
    Given an installation with the demo's settings

  Scenario Outline: A key runs once, whichever entry VMs receive it
    Given <kind> key
    When it is sent through "entry-colombo"
    And it is sent again through "entry-negombo" and "entry-kandy"
    Then one request ran
    And the second responses say that it may have run

    Examples:
      | kind      |
      | an issued |
      | a free    |

  Scenario: During a log outage issued keys work and free keys are refused
    Given an issued key
    And the log is down
    When it is sent through "entry-negombo"
    And a free key is sent through "entry-negombo"
    Then one request ran
    And the free key was refused as not run

  Scenario: Nothing runs after the issuer was killed
    Given an issued key
    And its issuer is killed
    When it is sent through "entry-negombo"
    Then no request ran
    And the response says that it may have run

  Scenario: Nothing runs while the issuer is paused
    Given an issued key
    And its issuer is paused
    When it is sent through "entry-negombo"
    And its issuer is resumed
    Then no request ran
    And the response says that it may have run
