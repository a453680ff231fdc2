Feature: Open flows of a route's former and newer services are not reset

  # Guards against fault FLOW (a): a balancer that had just started reset a flow
  # of a former service before a peer had told it the former services (found by
  # spec/former_services.lp, "resets_early").
  Scenario: A starting balancer resets nothing before it knows former services
    Given a store with a route to rounds, 2 balancers and agents of rounds and wheelbook
    When a caller opens a flow through balancer 1
    Then the caller gets a SYN+ACK
    When the caller acknowledges it through balancer 1
    And the operator moves the route to wheelbook
    And balancer 3 starts again and is ready
    And the caller sends a request through balancer 3
    Then the upstream that answered gets it once and the other one nothing
    And the caller gets the answer

  # Guards against fault FLOW (a): after a loss of power of all balancers nobody
  # knew the former service of a route, and its open flows were reset.
  Scenario: An open flow of a former service survives a restart of all balancers
    Given a store with a route to rounds, 2 balancers and agents of rounds and wheelbook
    When a caller opens a flow through balancer 1
    Then the caller gets a SYN+ACK
    When the caller acknowledges it through balancer 1
    And the operator moves the route to wheelbook
    And balancers 1 and 2 are killed and start again
    And the caller sends a request through balancer 2 until it gets a packet
    Then the caller gets the answer
    When the caller sends a request through balancer 1 until it gets a packet
    Then the caller gets the answer

  # Guards against the same, against packets of the flow at other services, and
  # against callers of lost flows that are not reset.
  Scenario Outline: Without the former services agents of all services are asked once
    Given a balancer with the agents a, b, c of rounds and d of wheelbook
    And a balancer that knows no former services
    When a segment of an unknown flow to rounds arrives
    Then the agents a, b, c are queried for it
    When agents a, b, c deny the flow
    And 0.1 s pass
    Then the agents a, b, c, d are queried for it
    When agents a, b, c deny the flow
    Then the caller gets no reset
    When agent d replies that it <reply> the flow
    Then <outcome>

    Examples:
      | reply             | outcome                                       |
      | holds             | agent d gets 1 segments of it                 |
      | does not hold     | the caller gets a reset near its acknowledgement |
      | is uncertain of   | the caller gets a reset near its acknowledgement |

  # Guards against a reset of a flow whose searches ended while the balancer still
  # waited for peers.
  Scenario: After the wait for peers agents of all services are asked as well
    Given a balancer with the agents a, b, c of rounds and d of wheelbook
    And a balancer that knows no former services
    When the balancer waits for its peers
    And a segment of an unknown flow to rounds arrives
    And agents a, b, c deny the flow
    And 0.1 s pass
    And agents a, b, c deny the flow
    And 0.1 s pass
    Then 0 agents are queried for it
    When no peer knows the former services
    And 0.1 s pass
    Then only agent d is queried for it
    When agent d replies that it holds the flow
    Then agent d gets 1 segments of it

  # Guards against a search among all services for each flow of the same route.
  Scenario: A service that holds a flow of a route is asked for the next one
    Given a balancer with the agents a, b, c of rounds and d of wheelbook
    And a balancer that knows no former services
    When a segment of an unknown flow to rounds arrives
    And agents a, b, c deny the flow
    And 0.1 s pass
    And agent d replies that it holds the flow
    And a segment of another unknown flow to rounds arrives
    And 0.1 s pass
    Then the agents a, b, c, d are queried for it

  # Guards against a history that is lost in a rolling restart: a balancer asked
  # no other peer after one that had started as well ("trusts_new_peer").
  Scenario: A peer that does not know the former services is not the last asked
    Given a store with a route to rounds, 2 balancers and agents of rounds and wheelbook
    When the operator moves the route to wheelbook
    And balancer 3 starts again with balancers 2 and 1 as its seeds
    And 0.2 s pass on all hosts
    And balancer 2 is killed and starts again
    Then balancers 2 and 3 know that the route led to rounds within 2 s

  # Guards against fault FLOW (a) at a balancer that has not got the newest
  # configuration yet: it looked for the flow among the agents of the service that
  # it knew ("reads_no_config").
  Scenario: A balancer reads the configuration before it counts a flow as lost
    Given a store with a route to rounds, 2 balancers and agents of rounds and wheelbook
    When the store answers no watch on the configuration any more
    And the operator moves the route to wheelbook unseen
    And balancer 1 is killed and starts again
    And a caller opens a flow through balancer 1
    Then the caller gets a SYN+ACK
    When the caller sends a request through balancer 2
    Then the upstream that answered gets it once and the other one nothing
    And the caller gets the answer
