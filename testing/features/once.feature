Feature: An order runs at most once

  Background:
    Given entries "entry-1", "entry-2", "entry-3" and "entry-4"
    And a caller that looked up at "entry-1"

  Scenario: The response is lost and the caller repeats the order at another entry
    Given the response of the home entry will be lost
    When the caller sends the order to "entry-3"
    And the caller repeats the order at "entry-4"
    Then the caller gets the result "done"
    And the order ran once

  Scenario: The home crashes before the order reaches it
    Given "entry-1" has crashed
    When the caller sends the order to "entry-3"
    Then the caller gets the result "OrderNotRun"
    And the order never ran

  Scenario: The home crashes while the order runs
    Given the backend server is stalled
    When the caller sends the order to "entry-1" and "entry-1" crashes
    And the caller repeats the order at "entry-3"
    Then the caller gets the result "OrderOutcomeUnknown"
    And the order ran once

  Scenario: The home and its witness are both gone after a graceful shutdown
    When the caller sends the order to "entry-1"
    And "entry-1" shuts down gracefully
    And "entry-2" has crashed
    And the caller repeats the order at "entry-4"
    Then the caller gets the result "done"
    And the order ran once

  Scenario: The key is used for another order
    When the caller sends the order to "entry-1"
    And the caller sends another body with the same key to "entry-3"
    Then the caller gets the result "OrderKeyReused"
    And the order ran once
