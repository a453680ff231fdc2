Feature: The forwarding daemons carry flows over real sockets

  # Guards against components that fail in combination.
  Scenario: A flow is opened, answered and continued through another balancer
    Given a store with a route to rounds, 2 balancers and 2 agents of rounds
    When a caller opens a flow through balancer 1
    Then the caller gets a SYN+ACK
    When the caller sends a request through balancer 2
    Then the upstream that answered gets it once and the other one nothing
    And the caller gets the answer

  # Guards against fault CONFIG: a change that needs a restart.
  Scenario: A new route is in force without a restart
    Given a store with a route to rounds, 2 balancers and 2 agents of rounds
    When the operator adds a route on port 9090
    And a caller opens a flow to port 9090 through balancer 1
    Then the caller gets a SYN+ACK

  # Guards against a dropped route that still accepts flows.
  Scenario: A flow to a dropped route is reset
    Given a store with a route to rounds, 2 balancers and 2 agents of rounds
    When the operator drops all routes
    And a caller opens a flow through balancer 1
    Then the caller gets a reset over the wire

  # Guards against fault CONFIG: a report that names a high version of a source
  # that does not serve it, or that has ended, hid the lower versions of peers.
  Scenario Outline: A version that nobody serves hides no version of a peer
    Given a store with a route to rounds, 2 balancers and 2 agents of rounds
    When the store rejects the calls of balancer 2
    And <message> names version 1000 of a host that has ended
    And the operator adds a route on port 9090
    Then balancer 2 has the new version within 3 s

    Examples:
      | message        |
      | a report       |
      | a subscription |

  # Guards against fault CONFIG at a balancer whose calls the store rejects. The
  # agents' reports name a peer that has the change.
  Scenario: A balancer that the store rejects gets a change from its peer
    Given a store with a route to rounds, 2 balancers and 2 agents of rounds
    When the store rejects the calls of balancer 2
    And the operator adds a route on port 9090
    Then balancer 2 has the new version within 3 s

  # Guards against a balancer that waits for the store at its start.
  Scenario: A balancer starts from its peers while the store is down
    Given a store with a route to rounds, 2 balancers and 2 agents of rounds
    When the store answers all calls with 503
    And balancer 3 starts with balancer 1 as its seed
    Then balancer 3 is ready within 3 s
    When a caller opens a flow through balancer 3
    Then the caller gets a SYN+ACK

  # Guards against a balancer that never gets ready: it asked no peer for agents
  # once it had the configuration.
  Scenario: A balancer gets the agents from its peers if the store fails later
    Given a store with a route to rounds, 2 balancers and 2 agents of rounds
    When the store rejects all calls about agents
    And balancer 3 starts with balancer 1 as its seed
    Then balancer 3 is ready within 3 s

  # Guards against flows lost by a restart of an agent.
  Scenario: An open flow survives a restart of its agent
    Given a store with a route to rounds, 2 balancers and 2 agents of rounds
    When a caller opens a flow through balancer 1
    Then the caller gets a SYN+ACK
    When the agent that holds the flow is replaced by a new one
    And the caller sends a request through balancer 1
    Then the upstream that answered gets it once and the other one nothing
    And the caller gets the answer

  # Guards against fault FLOW (a): a balancer that restarted after its route had
  # moved to another service did not find the flows of the former one.
  Scenario: An open flow survives a moved route and a restarted balancer
    Given a store with a route to rounds, 2 balancers and 2 agents of rounds
    When a caller opens a flow through balancer 1
    Then the caller gets a SYN+ACK
    When the caller acknowledges it through balancer 1
    And the operator moves the route to wheelbook
    And balancer 3 starts again with balancer 1 as its seed
    And the caller sends a request through balancer 3
    Then the upstream that answered gets it once and the other one nothing
    And the caller gets the answer

  # Guards against fault FLOW (a): a balancer that skipped a configuration did not
  # find the flows that others had opened under it.
  Scenario: A balancer learns the services of a route in a skipped configuration
    Given a store with a route to rounds, 2 balancers and 2 agents of rounds
    When the store does not answer balancer 2, and no peer tells it of changes
    And the route moves to wheelbook and then back to rounds
    And the store answers balancer 2 again
    Then balancer 2 looks flows of the route up at wheelbook as well within 3 s

  # Guards against a request to a peer at each of thousands of changes a day.
  Scenario: A balancer that skips no configuration asks no peer for its state
    Given a store with a route to rounds, 2 balancers and 2 agents of rounds
    When the route moves to wheelbook and then back to rounds
    And 3 s pass on all hosts
    Then balancer 2 has asked no peer for its state

  # Guards against fault FLOW (a): a balancer that had just started reset the
  # flows of a former service before its first call to a peer, 0.5 s later.
  Scenario: A balancer resets no flow before it knows the former services
    Given a store with a route to rounds, 2 balancers and 2 agents of rounds
    When a caller opens a flow through balancer 1
    Then the caller gets a SYN+ACK
    When the caller acknowledges it through balancer 1
    And the operator moves the route to wheelbook
    And agent 3 of wheelbook starts
    And balancer 3 starts again
    And the caller sends a request through balancer 3 until it gets a packet
    Then the caller gets the answer

  # Guards against fault FLOW (a): of two balancers that started together, one
  # took the other's empty list of former services for complete.
  Scenario: A balancer learns the former services from a peer that knows them
    Given a store with a route to rounds, 2 balancers and 2 agents of rounds
    When a caller opens a flow through balancer 1
    Then the caller gets a SYN+ACK
    When the caller acknowledges it through balancer 1
    And the operator moves the route to wheelbook
    And balancers 1 and 3 start again with balancers 1 and 2 as their seeds
    And the caller sends a request through balancer 3 until it gets a packet
    Then the caller gets the answer

  # Guards against two calls to the store by each agent after a loss of power: a
  # restarted agent created its record, which exists, and then replaced it.
  Scenario: An agent announces itself with one call at its first and later starts
    Given a store with a route to rounds, 2 balancers and 2 agents of rounds
    Then the agents have written to the store 2 times
    When the agent of host 1 is replaced by a new one
    And 0.5 s pass on all hosts
    Then the agents have written to the store 3 times
    And the store lists 2 agents

  # Guards against an agent that is never found: its host was added later, so it
  # has no record although the platform has been running for long.
  Scenario: An agent that starts later without a record creates one
    Given a store with a route to rounds, 2 balancers and 2 agents of rounds
    When the record of host 1 is deleted and its agent is replaced by a new one
    And 0.5 s pass on all hosts
    Then the store lists 2 agents

  # Guards against a stop that leaves the announcement or goes unnoticed.
  Scenario: An agent whose upstream has left withdraws and gets no new flows
    Given a store with a route to rounds, 2 balancers and 2 agents of rounds
    When the upstream of agent 1 leaves and the agent stops
    Then the store lists 1 agents
    When 20 callers open flows through balancer 1
    Then upstream 1 gets none of them

  # Guards against fault FLOW (a): the store applied the deletion of a stopped
  # agent seconds later, and it removed the record of the agent's next run for
  # good, so all flows of that agent were reset.
  Scenario: A late deletion does not remove the record of a restarted agent
    Given a store with a route to rounds, 2 balancers and 2 agents of rounds
    When the store delays the deletion of the record of agent 1
    And the agent of host 1 starts again before the deletion is applied
    Then the store lists 2 agents

  # Guards against balancers that take a restarted agent for a new one and
  # forget its load, as only the incarnation in its record has changed.
  Scenario: A restarted agent keeps its place in the balancers' tables
    Given a store with a route to rounds, 2 balancers and 2 agents of rounds
    When the agent of host 1 is replaced by a new one
    And 2 s pass on all hosts
    Then balancer 1 has the new incarnation of agent 1 and its last report

  # Guards against fault FLOW (a): an upstream that drained still served a slow
  # upload when its agent was told to stop.  The agent withdrew at once, all
  # others denied the flow, and a balancer reset it (large, small twin of
  # trouble-1 at 24.5 s).
  Scenario: An agent whose upstream still drains forwards until it has left
    Given a store with a route to rounds, 2 balancers and 2 agents of rounds
    When a caller opens a flow through balancer 1
    Then the caller gets a SYN+ACK
    When the upstream that answered drains and its agent begins to stop
    And 1.5 s pass on all hosts
    Then the store lists 2 agents
    When the caller sends a request through balancer 2
    Then the upstream that answered gets it once and the other one nothing
    And the caller gets the answer
    When the upstream that answered leaves
    And 0.5 s pass on all hosts
    Then the store lists 1 agents

  # Guards against an announcement that outlives its upstream.
  Scenario: An agent that stops withdraws once its upstream counts as dead
    Given a store with a route to rounds, 2 balancers and 2 agents of rounds
    When a caller opens a flow through balancer 1
    Then the caller gets a SYN+ACK
    When the upstream that answered drains and its agent begins to stop
    And 4 s pass on all hosts
    Then the store lists 1 agents

  # Guards against a balancer that leaves the rotation too late.
  Scenario: A balancer that stops is not ready but forwards segments
    Given a store with a route to rounds, 2 balancers and 2 agents of rounds
    When balancer 1 begins to stop
    Then balancer 1 is not ready
    When a caller opens a flow through balancer 1
    Then the caller gets a SYN+ACK

  # Guards against a process that ends because of malformed input.
  Scenario: Malformed input is counted and changes nothing
    Given a store with a route to rounds, 2 balancers and 2 agents of rounds
    When malformed datagrams, heartbeats and objects arrive
    Then each daemon that got one counts it in its metrics
    When a caller opens a flow through balancer 1
    Then the caller gets a SYN+ACK

  # Guards against fault CONFIG: another object of the kind with a higher version
  # replaced the configuration, and every later change of it was ignored.
  Scenario: Only the object main is the configuration
    Given a store with a route to rounds, 2 balancers and 2 agents of rounds
    When the store gets the configuration copy of version 9 without routes
    And the operator adds a route on port 9090
    Then balancer 1 has the new version within 3 s
    And balancer 1 has logged one ignored object
    When a caller opens a flow through balancer 1
    Then the caller gets a SYN+ACK

  # Guards against an evacuation that is not in force within its bound, that is
  # not taken back, or of whose end the agents hear too late.
  Scenario: An evacuation through the store is in force and taken back within 5 s
    Given a store with a route to rounds, evacuations, 2 balancers and agents of rounds in abay and enbek
    When the operator evacuates abay
    Then balancer 1 has evacuated abay within 5 s
    And balancer 2 has evacuated abay within 5 s
    And agent 1 takes its upstream for cold, and agent 2 does not
    And 20 new flows through balancer 1 go to upstreams 2
    When the operator ends the evacuation of abay
    Then balancer 1 has evacuated nothing within 5 s
    And balancer 2 has evacuated nothing within 5 s
    And agent 1 knows that the evacuation has ended
    And 30 new flows through balancer 2 go to upstreams 1 and 2

  # Guards against an evacuation that breaks open flows, or hides their holders
  # from other balancers.
  Scenario: An open flow survives the evacuation of its domain
    Given a store with a route to rounds, evacuations, 2 balancers and agents of rounds in abay and enbek
    When a caller opens a flow through balancer 1
    Then the caller gets a SYN+ACK
    When the caller acknowledges it through balancer 1
    And the operator evacuates abay
    And the operator evacuates enbek
    Then balancer 1 has evacuated abay and enbek within 5 s
    And balancer 2 has evacuated abay and enbek within 5 s
    When the caller sends a request through balancer 2
    Then the upstream that answered gets it once and the other one nothing
    And the caller gets the answer

  # Guards against a balancer that forgets the evacuations with a restart while
  # the store is down, or that waits for the store then.
  Scenario: A balancer learns the evacuations from a peer while the store is down
    Given a store with a route to rounds, evacuations, 2 balancers and agents of rounds in abay and enbek
    When the operator evacuates abay
    Then balancer 1 has evacuated abay within 5 s
    When the store answers all calls with 503
    And balancer 3 starts with balancer 1 as its seed
    Then balancer 3 is ready within 3 s
    And balancer 3 has evacuated abay within 0 s
    And 20 new flows through balancer 3 go to upstreams 2

  # Guards against an evacuation that a peer told and that never ends.
  Scenario: The list of the store replaces the evacuations that a peer told
    Given a store with a route to rounds, evacuations, 2 balancers and agents of rounds in abay and enbek
    When the operator evacuates abay
    Then balancer 1 has evacuated abay within 5 s
    When the store answers all calls with 503
    And balancer 3 starts with balancer 1 as its seed
    Then balancer 3 has evacuated abay within 3 s
    When the operator ends the evacuation of abay
    And the store answers all calls with 0
    Then balancer 3 has evacuated nothing within 5 s

  # Guards against new flows to evacuated upstreams through a balancer that is
  # in rotation before it knows of them.
  Scenario: A new balancer is not ready before it knows the evacuations
    Given a store with a route to rounds, evacuations, 2 balancers and agents of rounds in abay and enbek
    When the operator evacuates abay
    Then balancer 1 has evacuated abay within 5 s
    When the store rejects all calls about evacuations
    And balancer 3 starts again
    Then balancer 3 is not ready before it has evacuated abay

  # Guards against new flows to evacuated upstreams through a balancer that takes
  # the word of a peer without the store while its own list is under way (found by
  # spec/evacuations.lp, "trusts_peers").
  Scenario: A new balancer waits for its list although a peer knows no evacuation
    Given a store with a route to rounds, evacuations, 2 balancers and agents of rounds in abay and enbek
    When the store rejects the calls of balancer 1
    And the operator evacuates abay
    And the store takes 1 s to list evacuations
    And balancer 3 starts with balancer 1 as its seed
    Then balancer 3 is not ready before it has evacuated abay
    And 20 new flows through balancer 3 go to upstreams 2

  # Guards against a deployment that never serves because of an optional list,
  # and against a peer that takes part without knowing it either.
  Scenario: A new balancer serves after 3 s if nobody tells the evacuations
    Given a store with a route to rounds, evacuations, 2 balancers and agents of rounds in abay and enbek
    When balancers 1 and 2 are killed
    And the store rejects all calls about evacuations
    And balancer 1 starts again
    And balancer 3 starts again
    Then balancer 3 is ready 3 to 5 s after its start

  # Guards against a process that ends, or an evacuation that is ignored, because
  # of malformed objects, and against names that forge log lines.
  Scenario: Malformed evacuations are counted and break nothing
    Given a store with a route to rounds, evacuations, 2 balancers and agents of rounds in abay and enbek
    When the store gets malformed evacuations and one of abay
    Then balancer 1 has evacuated abay within 5 s
    And balancer 1 counts 2 pieces of bad input
    And 20 new flows through balancer 1 go to upstreams 2

  # Guards against billed calls in deployments that use no evacuations.
  Scenario: Without the setting no call is made about evacuations
    Given a store with a route to rounds, 2 balancers and 2 agents of rounds
    When the operator evacuates abay
    And 2 s pass on all hosts
    Then the balancers have made no call about evacuations
    And balancer 1 has evacuated nothing within 0 s
