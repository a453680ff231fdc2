Feature: New flows follow a change of their route

  # Guards against fault ROUTE: an opening that no upstream had taken was offered
  # to the service that its route had when the caller first sent it.
  Scenario Outline: A queued opening goes to a service of the route in force
    Given a balancer with the agents a, b, c of rounds and d of wheelbook
    When a caller opens a flow to rounds
    And every agent that is offered the flow declines it as "<reason>"
    And the route moves to wheelbook in version 6
    And <event>
    Then agent d alone is offered the flow

    Examples:
      | reason   | event                                          |
      | overload | the caller retransmits its opening after 0.2 s |
      | overload | 0.05 s pass                                    |
      | leaving  | the caller retransmits its opening after 0.2 s |

  # Guards against the same for an offer that is declined after the change.
  Scenario: An opening declined after its route moved goes to the new service
    Given a balancer with the agents a, b, c of rounds and d of wheelbook
    When a caller opens a flow to rounds
    And the route moves to wheelbook in version 6
    And the agent that was offered the flow declines it
    Then agent d alone is offered the flow

  # Guards against an opening that is offered although its route is gone, and
  # against a caller that waits for nothing.
  Scenario Outline: A queued opening is refused once its route is dropped
    Given a balancer with the agents a, b, c of rounds and d of wheelbook
    When a caller opens a flow to rounds
    And every agent that is offered the flow declines it
    And a configuration of version 6 without routes arrives
    And <event>
    Then the caller gets a reset
    And no agent is offered the flow

    Examples:
      | event                                          |
      | the caller retransmits its opening after 0.2 s |
      | 0.05 s pass                                    |

  # Guards against a flow that upstreams of two services have.
  Scenario: An opening that an agent may have taken keeps its service
    Given a balancer with the agents a, b, c of rounds and d of wheelbook
    When a caller opens a flow to rounds
    And the route moves to wheelbook in version 6
    And the caller retransmits its opening after 0.2 s
    Then two different agents were offered the flow
    And agent d is not among them
