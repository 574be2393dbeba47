Feature: A graceful shutdown interrupts no request

  Scenario: An entry is terminated while it serves a request
    Given two entries and slow backend servers
    When a caller sends a request to "entry-1" and "entry-1" is terminated
    Then the caller gets the complete response
    And "entry-1" exits with status 0

  Scenario: A caller uses a look-up response from before the shutdown
    Given two entries and slow backend servers
    When "entry-1" is terminated and a caller sends it a request afterwards
    Then the caller gets the complete response
    And "entry-1" exits with status 0
