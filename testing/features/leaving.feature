Feature: A planned stop cuts no request

  Scenario: An entry is told to stop while it serves
    Given two entries and slow backend servers
    When a caller asks "entry-1" and "entry-1" is told to stop
    Then the caller gets the whole answer
    And "entry-1" exits with status 0

  Scenario: A caller still holds a look-up answer that names the entry
    Given two entries and slow backend servers
    When "entry-1" is told to stop and a caller asks it afterwards
    Then the caller gets the whole answer
    And "entry-1" exits with status 0
