Feature: An accepted configuration is in force everywhere and never reverts

  Scenario: A version reaches every entry, and one that restarts in a store outage keeps it
    Given a fleet of 3 entries with version 1 in force
    When version 2 is accepted
    And version 2 is in force at every entry
    And the store is down
    And entry-1 restarts
    Then version 2 is in force at every entry

  Scenario: A store that was reset to an older state changes nothing
    Given a fleet of 3 entries with version 1 in force
    When the state of the store is copied
    And version 2 is accepted
    And version 2 is in force at every entry
    And the store is reset to the copy
    And entry-1 restarts
    Then version 2 is in force at every entry

  Scenario: An entry that was paused catches up before it serves a caller
    Given a fleet of 3 entries with version 1 in force
    When entry-2 is paused
    And version 2 is accepted
    And entry-2 resumes
    Then a caller that has seen version 2 gets no answer of version 1 from entry-2
    And version 2 is in force at every entry

  Scenario: A caller that has seen a version that no source has is refused
    Given a fleet of 3 entries with version 1 in force
    Then a caller that has seen version 9 is refused with MD4011 as not run
