Feature: A customer that holds a veto can stop a change before it is accepted

  Background:
    Given the lists of riga are accepted as version 1

  Scenario: A veto in time stops the change
    Given operator alice proposes "cut" that lowers the capacity of plan partner to 0.25
    When customer partner-shops vetoes "cut"
    And operator alice accepts "cut"
    Then the operation fails with code MD4004
    And version 1 is accepted

  Scenario: A change is accepted when its veto window has ended
    Given operator alice proposes "cut" that lowers the capacity of plan partner to 0.25
    When operator alice accepts "cut"
    Then version 1 is accepted
    When the veto window has ended
    Then version 2 is accepted

  Scenario: A veto after the acceptance is rejected
    Given operator alice proposes "cut" that lowers the capacity of plan partner to 0.25
    And operator alice accepts "cut"
    When the veto window has ended
    And customer partner-shops vetoes "cut"
    Then the operation fails with code MD4005
    And version 2 is accepted

  Scenario: A customer that shares a region can stop a change that takes more of it
    Given operator alice proposes "grow" that raises the capacity of plan partner to 0.75
    When customer cooperative vetoes "grow"
    Then "grow" is vetoed

  Scenario: A customer cannot stop a change that does not touch it
    Given operator alice proposes "cut" that lowers the capacity of plan partner to 0.25
    When customer cooperative vetoes "cut"
    Then the operation fails with code MD4008

  Scenario: The time while the store is down does not count towards the window
    Given operator alice proposes "cut" that lowers the capacity of plan partner to 0.25
    And operator alice accepts "cut"
    When the store is down for two veto windows
    Then version 1 is accepted
    When customer partner-shops vetoes "cut"
    Then "cut" is vetoed

  Scenario: A conflicting edit of the same plan is rejected
    Given operator alice proposes "cut" that lowers the capacity of plan partner to 0.25
    And operator bob proposes "deeper" that lowers the capacity of plan partner to 0.125
    And operator alice accepts "cut"
    When the veto window has ended
    And operator bob accepts "deeper"
    Then the operation fails with code MD4014
    And the error contains "make the edit on them and propose again"
