Feature: Upstream states reach the memberships and never move back

  Scenario: Reports of one failure domain alone remove no host
    Given a service with 5 ready hosts
    When daemons of 1 failure domain report host "a0"
    And 20 seconds pass
    Then host "a0" is "ready" in the object API

  Scenario: A second failure domain confirms the removal
    Given a service with 5 ready hosts
    When daemons of 2 failure domains report host "a0"
    And 5 seconds pass
    Then host "a0" is "gone" in the object API
    When 20 seconds pass
    Then host "a0" is "gone" in the object API
    When 60 seconds pass
    Then host "a0" is not listed in the object API

  Scenario Outline: Fewer than half of the hosts are removed within 10 seconds
    Given a service with <hosts> ready hosts
    When daemons of 2 failure domains report all hosts for 30 seconds
    Then at most <removed> hosts are removed within any 10 seconds

    Examples:
      | hosts | removed |
      | 2     | 0       |
      | 3     | 1       |
      | 5     | 2       |

  Scenario: A host that was removed while alive joins again
    Given a service with 5 ready hosts
    When daemons of 2 failure domains report host "a0"
    And host "a0" stays alive
    And 20 seconds pass
    Then host "a0" is "ready" in the object API
    And its incarnation is higher than before

  Scenario: A restarted host replaces its earlier incarnation permanently
    Given a service with 3 ready hosts
    When host "a0" starts again with a new incarnation
    And 10 seconds pass
    And its earlier incarnation announces itself again
    And 10 seconds pass
    Then the object API lists the new incarnation of "a0"

  Scenario: A delayed announcement does not bring a removed host back
    Given a service with 3 ready hosts
    When an announcement of host "a0" is delayed
    And host "a0" leaves and 60 seconds pass
    And the announcement arrives at all watchers
    And 30 seconds pass
    Then host "a0" is not listed in the object API

  Scenario: Two watchers race and both changes survive
    Given a service with 3 ready hosts
    When two watchers write the same object at the same time
    And 10 seconds pass
    Then both changes are in the object API
    And at least one write was a conflict

  Scenario: A lost response is resolved by reading the object back
    Given a service with 3 ready hosts
    When the object API loses the response to every write
    And host "a0" drains
    And 30 seconds pass
    Then host "a0" is "draining" in the object API
    And it was written once

  Scenario: Records of one host are batched into one update per service
    Given a service with 3 ready hosts
    When 10 hosts join within 100 milliseconds through one watcher
    And 10 seconds pass
    Then the object API received 1 update of the service

  Scenario: A drain stays in effect while the object API is down
    Given a service with 3 ready hosts
    When the object API goes down
    And host "a0" drains
    And 2 seconds pass
    Then all daemons see host "a0" as draining
    When 700 seconds pass
    Then all daemons see host "a0" as draining
    When the object API comes back
    And 60 seconds pass
    Then host "a0" is "draining" in the object API
    And all daemons see host "a0" as draining
    And no daemon saw a state move back

  Scenario: A slow clock does not keep a restarted host out
    Given a service with 3 ready hosts
    When host "a0" starts again with a clock 1 hour behind
    And 20 seconds pass
    Then host "a0" is "ready" in the object API
    And its incarnation is higher than before

  Scenario: An agent does not revert an operator's retirement
    Given a service with 3 ready hosts
    When an operator sets host "a0" to "draining" and to "gone"
    And 20 seconds pass
    Then host "a0" is "gone" in the object API
    When 60 seconds pass
    Then host "a0" is not listed in the object API

  # Guards against an agent's restart that reverts a state override.
  Scenario Outline: A state override outlives the agent's restart
    Given a service with 3 ready hosts
    When an operator overrides host "a0" to "<state>"
    And 5 seconds pass
    And host "a0" starts again with a new incarnation
    And 20 seconds pass
    Then host "a0" is "<state>" in the object API

    Examples:
      | state    |
      | draining |
      | gone     |

  Scenario: An operator returns a drained host to service
    Given a service with 3 ready hosts
    When an operator sets host "a0" to "draining" and to "warming"
    And 20 seconds pass
    Then host "a0" is "ready" in the object API

  Scenario Outline: No change is reverted, lost or applied twice under faults
    When the fleet runs under the faults of seeds <first> to <last>
    Then nothing was reverted, lost, applied twice or revived

    Examples:
      | first | last |
      | 0     | 11   |
      | 965   | 974  |
