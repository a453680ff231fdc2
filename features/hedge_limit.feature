Feature: The limit of hedged openings holds for a fleet of balancers

  # Guards against extra openings beyond the limit that the operator set, and
  # against hedges that take the slots for which other flows wait in a surge:
  # each balancer knows only its own openings and its own queue.
  Scenario Outline: Ten balancers keep to the limit through a surge
    Given 10 balancers that hedge up to 5 percent, and 20 upstreams of 2 slots
    When callers open flows at random for 8 s, with losses from 1 s to 4 s and a surge from 3 s to 6 s, by seed <seed>
    Then no balancer ever sent more extra openings than 5 percent + 10
    And together they never sent more than 5 percent + 100
    And no extra opening was sent while openings were queued at its balancer
    And openings were hedged before and after the surge, and queued in it
    And some balancer reached its limit

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |
