Feature: No region is overloaded
  The requests in flight at a region's instances stay within their slots,
  whatever the callers send.

  Scenario: a flood of the least urgent work
    Given a riga deployment with 3 entries
    When 300 low-rank requests arrive at once at every entry
    Then no region has more requests than slots
    And what was refused as not run did not run
