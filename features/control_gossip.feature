Feature: Configuration spreads between daemons

  Scenario: A stale peer never reverts a change
    Given 2 daemons that know preset "summer" at version 7
    When a peer offers preset "winter" at version 6
    Then the preset "summer" is in force on all daemons

  Scenario: A daemon that starts without the object API reads from its peers
    Given a fleet of 4 daemons that know 300 services
    When the object API goes down
    And a daemon starts with the others as peers
    And 10 seconds pass
    Then it is synced and knows all objects

  Scenario: A daemon that reaches neither peers nor the object API is not ready
    Given a fleet of 1 daemons that know 300 services
    When the object API goes down
    And a daemon starts without peers
    And 60 seconds pass
    Then it is not synced

  Scenario: Digests repair lost messages
    Given a fleet of 16 daemons that know 20 services
    When 100 percent of all messages are lost
    And a preset is put in force
    And 3 seconds pass
    And 0 percent of all messages are lost
    And 30 seconds pass
    Then all daemons agree with the object API

  Scenario: Regions reconnect after a network partition
    Given a fleet of 8 daemons that know 20 services
    When the regions are partitioned for 900 seconds
    And a preset is put in force
    And 120 seconds pass
    Then all daemons agree with the object API
    And the regions are linked

  Scenario: A message from before a pause does not renew the object API contact
    Given two daemons with a link, one in contact with the object API
    When the other is paused for 20 seconds while a contact time waits for it
    Then its contact is at least 20 seconds old

  Scenario: An invalid object from the object API changes nothing
    Given 2 daemons that know preset "summer" at version 7
    When the object API delivers a malformed preset at version 8
    Then the preset "summer" is in force on all daemons

  Scenario: Two watchers for each failure domain
    Given a fleet of 24 daemons that know 20 services
    When 30 seconds pass
    Then each failure domain has 2 watchers
    When the watchers of one failure domain stop
    And 90 seconds pass
    Then each failure domain has 2 watchers
