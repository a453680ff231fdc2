Feature: With more new flows than slots, as many as possible meet their goal

  # Guards against fair queueing where it is not asked for.
  Scenario Outline: The contract health enables fair queueing
    Given settings of a side machine in which contracts is <value>
    Then fair queueing is <state>

    Examples:
      | value                | state |
      | ["health", "warmup"] | on    |
      | ["warmup"]           | off   |
      | missing              | off   |

  # Guards against a long queue for one service beside another one: the queue of
  # rounds took all 8 offers of each turn while wheelbook had free slots.
  Scenario: A long queue for one service does not delay the flows of another
    Given a balancer with fair queueing and routes to rounds and wheelbook
    And no agent takes new flows
    When 100 callers open flows to rounds, and then one to wheelbook
    Then all these flows are queued
    When agent d takes new flows again
    Then agent d is offered the flow to wheelbook
