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
