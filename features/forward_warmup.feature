Feature: Cold upstreams get few openings, and warm ones the others

  # Guards against upstreams that fail as soon as they return: all balancers
  # prefer the idle upstreams of their own domain, and each knows only the
  # openings that it sends itself.
  Scenario Outline: The upstreams of a domain return cold under steady demand
    Given <balancers> balancers in abay, and 6 upstreams each in abay and enbek
    And a limit of <rate> openings a second for a cold upstream
    When callers open <demand> flows a second from 0.5 s to 5 s
    And the upstreams of abay start at 1 s and are cold for 2 s
    Then no upstream gets more than 1.5 times the rate + 5 in any second from 1 to 3 s
    And each upstream of abay gets openings from 1 to 3 s
    And no flow is refused, and all openings from 1 to 3 s reach an upstream
    And most openings from 4 to 5 s reach the upstreams of abay

    Examples:
      | balancers | rate | demand |
      | 4         | 10   | 300    |
      | 22        | 10   | 300    |
      | 22        | 2    | 200    |

  # Guards against openings beyond the limit from the end of an evacuation until
  # the next heartbeat, which is the first to say that the upstream is cold: also
  # if messages get lost, and if balancers or agents start at that time.
  Scenario Outline: The upstreams of a domain return cold after its evacuation
    Given <balancers> balancers in abay, and 6 upstreams each in abay and enbek
    And a limit of <rate> openings a second for a cold upstream
    When callers open 300 flows a second from 0.5 s to 8 s
    And abay is evacuated at 1 s
    And <lost> of the messages to agents get lost
    And abay is taken back into use at 3.65 s, cold for 2 s
    And <event>
    Then no upstream gets more than 1.5 times the rate + 5 in any second from 3.65 to 5.65 s
    And each upstream of abay gets openings from 3.65 to 4.8 s
    And no flow is refused, and all openings from 3.65 to 5.65 s reach an upstream
    And most openings from 6.9 to 8 s reach the upstreams of abay

    Examples:
      | balancers | rate | lost | event                                |
      | 4         | 10   | 0    | nothing else happens at 4 s          |
      | 22        | 2    | 0    | nothing else happens at 4 s          |
      | 22        | 10   | 0.3  | nothing else happens at 4 s          |
      | 1         | 10   | 0    | all balancers restart at 3.66 s      |
      | 4         | 10   | 0    | all balancers restart at 3.66 s      |
      | 4         | 10   | 0    | the agents of abay restart at 2.3 s  |
      | 4         | 10   | 0    | the agents of abay restart at 3.5 s  |
      | 4         | 10   | 0    | one balancer of 4 loses the store at 3 s |
      | 4         | 2    | 0    | all messages to agents get lost for 0.25 s at 3.64 s |

  # Guards against a limit without need: an upstream that is not cold after its
  # evacuation is used in full within one heartbeat interval.
  Scenario: The upstreams of a domain return warm after its evacuation
    Given 4 balancers in abay, and 6 upstreams each in abay and enbek
    And a limit of 2 openings a second for a cold upstream
    When callers open 300 flows a second from 0.5 s to 8 s
    And abay is evacuated at 1 s
    And abay is taken back into use at 3.65 s, cold for 0 s
    And nothing else happens at 4 s
    Then most openings from 4.85 to 6 s reach the upstreams of abay

  # Guards against a limit where the service sets none.
  Scenario: Without a warm-up rate a domain is used in full after its evacuation
    Given 4 balancers in abay, and 6 upstreams each in abay and enbek
    And a limit of 0 openings a second for a cold upstream
    When callers open 300 flows a second from 0.5 s to 8 s
    And abay is evacuated at 1 s
    And abay is taken back into use at 3.65 s, cold for 2 s
    And nothing else happens at 4 s
    Then most openings from 3.8 to 4.8 s reach the upstreams of abay

  # Guards against an agent that takes its upstream as warm because the first balancer
  # that it hears after a restart has started after the end of the evacuation.
  Scenario: The time of the end counts from any balancer that knows it
    Given an agent that was told of no evacuation
    When a balancer tells that the domain is not evacuated, at revision 7
    And a balancer tells that the evacuation ended 1 s ago, at revision 7
    Then a heartbeat of 1.1 s ago does not tell that the upstream is warm
