Feature: An order runs at most once

  Background:
    Given entries "entry-1", "entry-2", "entry-3" and "entry-4"
    And a buyer who looked up at "entry-1"

  Scenario: The answer is lost and the buyer repeats at another entry
    Given the answer of the home entry will be lost
    When the buyer sends the order to "entry-3"
    And the buyer repeats the order at "entry-4"
    Then the buyer is told "done"
    And the order ran once

  Scenario: The home dies before the order reaches it
    Given "entry-1" has died
    When the buyer sends the order to "entry-3"
    Then the buyer is told "OrderNotRun"
    And the order never ran

  Scenario: The home dies while the order runs
    Given the backend server is stalled
    When the buyer sends the order to "entry-1" and "entry-1" dies
    And the buyer repeats the order at "entry-3"
    Then the buyer is told "OrderOutcomeUnknown"
    And the order ran once

  Scenario: The home and its witness are both gone after a planned stop
    When the buyer sends the order to "entry-1"
    And "entry-1" stops as planned
    And "entry-2" has died
    And the buyer repeats the order at "entry-4"
    Then the buyer is told "done"
    And the order ran once

  Scenario: The key is used for another order
    When the buyer sends the order to "entry-1"
    And the buyer sends another body under the same key to "entry-3"
    Then the buyer is told "OrderKeyReused"
    And the order ran once
