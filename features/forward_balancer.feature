Feature: A balancer passes segments of flows on

  # Guards against openings that never leave the balancer.
  Scenario: A new flow goes to an agent of the route's service
    Given a balancer with the agents a, b, c of rounds and d of wheelbook
    When a caller opens a flow to rounds
    Then one agent of rounds is offered the flow

  # Guards against a flow that moves when load reports change.
  Scenario: Later segments go where the flow was opened
    Given a balancer with the agents a, b, c of rounds and d of wheelbook
    When a caller opens a flow to rounds
    And all agents report other loads
    And the caller sends 20 segments
    Then they all go to the agent that was offered the flow

  # Guards against flows broken when the fabric hashes anew: FLOW (b).
  Scenario: A flow that another balancer opened is looked up
    Given a balancer with the agents a, b, c of rounds and d of wheelbook
    When a segment of an unknown flow to rounds arrives
    Then the agents a, b, c are queried for it
    When agent b replies that it holds the flow
    And the caller sends 3 segments
    Then they all go to agent b

  # Guards against resets of flows that live: only the holder's word counts.
  Scenario: Denials of agents that never held a flow reset nothing
    Given a balancer with the agents a, b, c of rounds and d of wheelbook
    When a segment of an unknown flow to rounds arrives
    And agents a, c deny the flow
    Then the caller gets no reset

  # Guards against callers that wait for a flow that died with its host: after
  # a loss of power no agent remembers it.
  Scenario: A flow that all agents deny twice is reset
    Given a balancer with the agents a, b, c of rounds and d of wheelbook
    When a segment of an unknown flow to rounds arrives
    And agents a, b, c deny the flow
    Then the caller gets no reset
    When 0.1 s pass
    Then the agents a, b, c are queried for it
    When agents a, b, c deny the flow
    Then the caller gets a reset near its acknowledgement

  # Guards against FLOW (a): an agent that is cut off may hold the flow.
  Scenario: A flow is not reset while an agent of its service is silent
    Given a balancer with the agents a, b, c of rounds and d of wheelbook
    When agent a stays silent for 1.5 s while others report
    And a segment of an unknown flow to rounds arrives
    And agents b, c deny the flow
    And 0.1 s pass
    And agents b, c deny the flow
    Then the caller gets no reset

  # Guards against callers that wait for a host that is lost for good.
  Scenario: A flow is reset once the silent agent counts as lost
    Given a balancer with the agents a, b, c of rounds and d of wheelbook
    When agent a stays silent for 4.5 s while others report
    And a segment of an unknown flow to rounds arrives
    And agents b, c deny the flow
    And 0.1 s pass
    And agents b, c deny the flow
    Then the caller gets a reset near its acknowledgement

  # Guards against callers that wait for a flow which its upstream has lost.
  Scenario: A flow that its holder denies is reset
    Given a balancer with the agents a, b, c of rounds and d of wheelbook
    When a caller opens a flow to rounds
    And the caller sends 1 segments
    And 1.2 s pass
    And the agent that was offered the flow denies it
    Then the caller gets a reset near its acknowledgement

  # Guards against FLOW (a): a copy of the opening went through another
  # balancer, and another agent holds the flow.
  Scenario: The denial of an agent that is only assumed to hold it resets nothing
    Given a balancer with the agents a, b, c of rounds and d of wheelbook
    When a caller opens a flow to rounds
    And the caller sends 1 segments
    And the agent that was offered the flow denies it
    Then the caller gets no reset
    And the two other agents of rounds are queried for it

  # Guards against a refusal while others have room.
  Scenario: A declined flow is offered to another agent
    Given a balancer with the agents a, b, c of rounds and d of wheelbook
    When a caller opens a flow to rounds
    And the agent that was offered the flow declines it
    Then another agent of rounds is offered the flow

  # Guards against tries that a caller uses up at once in a short overload.
  Scenario: A flow that all agents decline for now waits for room
    Given a balancer with the agents a, b, c of rounds and d of wheelbook
    When a caller opens a flow to rounds
    And every agent that is offered the flow declines it
    Then no agent is offered the flow and the caller gets no reset
    When 0.05 s pass
    Then one agent of rounds is offered the flow

  # Guards against messages that an overload multiplies.
  Scenario: An agent that declined for lack of room is spared for a moment
    Given a balancer with the agents a, b, c of rounds and d of wheelbook
    When a caller opens a flow to rounds
    And every agent that is offered the flow declines it
    And 5 callers open flows to rounds
    Then no agent is offered the flow and the caller gets no reset

  # Guards against a wait that outlasts the caller: the reset is a true
  # "not run", while the caller still listens.
  Scenario: A flow that finds no room within its caller's patience is refused
    Given a balancer with the agents a, b, c of rounds and d of wheelbook
    When a caller opens a flow to rounds
    And every agent that is offered the flow declines it
    And 1.25 s pass
    Then the caller gets a reset

  # Guards against a wait for a service that cannot serve.
  Scenario: A flow to a service without agents is refused at once
    Given a balancer with a route and a complete list without agents
    When a caller opens a flow to rounds
    Then the caller gets a reset

  # Guards against refusals by a balancer that has just started.
  Scenario: A flow waits while the list of agents is not complete
    Given a balancer with a route and no list of agents
    When a caller opens a flow to rounds
    Then no agent is offered the flow and the caller gets no reset

  # Guards against urgent work behind less urgent work.
  Scenario: Waiting flows are placed by urgency, then by age
    Given a balancer with the agents a, b, c of rounds and d of wheelbook
    When flows of urgency 2, 2, 1, 0, 1 wait in this order
    Then they are offered in the order 4, 3, 5, 1, 2

  # Guards against an overload in which every answer is late.
  Scenario: Flows that can still meet their goal go before those that cannot
    Given a balancer with the agents a, b, c of rounds and d of wheelbook
    When flows of urgency 0, 1, 1, 2 wait in this order
    Then after 2 of them missed their goal the order is 3, 4, 1, 2

  # Guards against a dead upstream that costs a caller its first attempt.
  Scenario: A repeated opening goes to a second agent
    Given a balancer with the agents a, b, c of rounds and d of wheelbook
    When a caller opens a flow to rounds
    And the caller retransmits its opening after 0.2 s
    Then two different agents were offered the flow
    When the caller sends 1 segments
    Then both offered agents are probed for it

  # Guards against new flows to hosts that died silently.
  Scenario: An agent without reports gets no new flows
    Given a balancer with the agents a, b, c of rounds and d of wheelbook
    When agent a stays silent for 1.5 s while others report
    And 200 callers open flows to rounds
    Then agent a is offered none of them

  # Guards against a service that is emptied by a list without entries.
  Scenario: New flows wait for a report and are then placed
    Given a balancer with a route but without reports
    When a caller opens a flow to rounds
    Then no agent is offered the flow and the caller gets no reset
    When agent a reports that it takes flows
    Then agent a is offered the flow

  # Guards against late refusals: the wait is bounded.
  Scenario: A flow that nobody takes in time is refused
    Given a balancer with a route but without reports
    When a caller opens a flow to rounds
    And 1.25 s pass
    Then the caller gets a reset

  # Guards against CONFIG: a configuration that goes back.
  Scenario: An older configuration changes nothing
    Given a balancer with the agents a, b, c of rounds and d of wheelbook
    When a configuration of an older version without routes arrives
    And a caller opens a flow to rounds
    Then one agent of rounds is offered the flow

  # Guards against flows to a route that was dropped.
  Scenario: A route that a newer configuration drops gets no new flows
    Given a balancer with the agents a, b, c of rounds and d of wheelbook
    When a configuration of a newer version without routes arrives
    And a caller opens a flow to rounds
    Then the caller gets a reset

  # Guards against an address that is used again by another service.
  Scenario: Another service at a known address replaces its agent
    Given a balancer with the agents a, b, c of rounds and d of wheelbook
    When an agent e of wheelbook announces itself at the address of a
    And 200 callers open flows to rounds
    Then agents a, e are offered none of them

  # Guards against load that piles up on slow upstreams.
  Scenario: Work follows the speed that reports show
    Given a balancer with the agents a, b, c of rounds and d of wheelbook
    And agent a takes 60 ms for a request and the others 20 ms
    When 600 callers open flows to rounds
    Then agent a is offered between 3 and 25 percent of them

  # Guards against agents that count as silent in a large fleet, where reports
  # are rarer.
  Scenario: Silence is measured in the agent's own report intervals
    Given a balancer with the agents a, b, c of rounds and d of wheelbook
    And agents report every 2 s
    When agent a stays silent for 5 s while others report
    And 200 callers open flows to rounds
    Then agent a is offered some of them

  # Guards against searches that begin again and again while the list of agents
  # is read: 90 percent took 6 s after a loss of power (grown Lima, trouble-2).
  Scenario: The denials of two searches hold until the list has been read
    Given a balancer with the agents a, b, c of rounds and d of wheelbook
    When the store cannot be reached
    And a segment of an unknown flow to rounds arrives
    And agents a, b, c deny the flow
    And 0.1 s pass
    And agents a, b, c deny the flow
    And 0.5 s pass
    Then 0 agents are queried for it
    When the store answers again with the same list
    And 0.1 s pass
    Then the caller gets a reset near its acknowledgement

  # Guards against an agent that looks busier with each flow it declined: the
  # count drifted to 65 in an incident, and the agent got no flows any more.
  Scenario: Declined flows do not weigh on an agent after its next report
    Given a balancer with the agents a, b, c of rounds and d of wheelbook
    When agent a alone declines 300 flows, and then all report
    And 200 callers open flows to rounds
    Then agent a is offered between 20 and 45 percent of them

  # Guards against FLOW (a): a copy of the opening went through another
  # balancer while this one let the flow wait, and the wait's end reset it.
  Scenario: A flow that opens elsewhere while it waits is not refused
    Given a balancer with the agents a, b, c of rounds and d of wheelbook
    When a caller opens a flow to rounds
    And every agent that is offered the flow declines it
    And the caller sends 1 segments
    And 1.25 s pass
    Then the caller gets no reset

  # Guards against a search that stops at the first agents: one of them was
  # silent, and the others were never asked (grown deployment, trouble-1).
  Scenario: A search goes on past agents that do not answer
    Given a balancer with 30 agents of rounds
    When a segment of an unknown flow to rounds arrives
    Then 8 agents are queried for it
    When 7 of them deny it and 0.5 s pass
    Then all 30 agents were queried for it

  # Guards against a flow that no search finds after a re-hash.
  Scenario: A new flow goes to one of the agents that a search asks first
    Given a balancer with 30 agents of rounds
    When a caller opens a flow to rounds
    And another balancer looks up that flow
    Then the agent that was offered the flow is among the first 8 queried

  # Guards against FLOW (a): a balancer that has not heard of a new route yet
  # gets a packet of an open flow after a re-hash.
  Scenario: A segment of a flow to a route that is not known is not answered
    Given a balancer with the agents a, b, c of rounds and d of wheelbook
    When a segment of an unknown flow to an unknown route arrives
    Then the caller gets no reset

  # Guards against a balancer in rotation that knows no agents yet.
  Scenario: A balancer is ready once the list of agents is complete
    Given a balancer with a route and no list of agents
    Then the balancer is not ready
    Given a balancer with a route and a complete list without agents
    Then the balancer is ready

  # Guards against a reset outside of the caller's window.
  Scenario: A late copy of the opening does not count as an acknowledgement
    Given a balancer with the agents a, b, c of rounds and d of wheelbook
    When a caller opens a flow to rounds
    And the caller sends 1 segments
    And the caller retransmits its opening after 1.2 s
    And the agent that was offered the flow denies it
    Then the caller gets a reset near its acknowledgement

  # Guards against a search that never ends: agents whose host is gone for good
  # never answer, and the others have denied before they count as lost (grown
  # deployment, after a loss of power).
  Scenario: A flow is reset once the agents that did not deny it are lost
    Given a balancer with 30 agents of rounds
    When a segment of an unknown flow to rounds arrives
    And 20 agents report and deny it while the caller retransmits it for 6 s
    Then the caller gets a reset near its acknowledgement

  # Guards against callers that wait 4 s after a loss of power for hosts that
  # did not come back (grown deployment, trouble-1).
  Scenario: An agent that was never heard counts as lost sooner
    Given a balancer with the agents a, b, c of rounds and d of wheelbook
    And an agent e of rounds that never reports
    When a segment of an unknown flow to rounds arrives
    And agents a, b, c deny the flow
    And 1 s pass
    And agents a, b, c deny the flow
    Then the caller gets no reset
    When agents a, b, c report and 1.6 s pass
    And agents a, b, c deny the flow
    And 0.1 s pass
    And agents a, b, c deny the flow
    Then the caller gets a reset near its acknowledgement

  # Guards against FLOW (a): a balancer that is cut off from all agents.
  Scenario: A flow is not reset while nobody answers at all
    Given a balancer with 30 agents of rounds
    When a segment of an unknown flow to rounds arrives
    And 0 agents report and deny it while the caller retransmits it for 6 s
    Then the caller gets no reset

  # Guards against searches that fill a link of 5 Mbit/s: a flow's segments went
  # to 8 agents each (grown deployment, after a loss of power).
  Scenario: The segments of a flow that is looked for wait for its holder
    Given a balancer with 30 agents of rounds
    When a segment of an unknown flow to rounds arrives
    And the caller sends 5 segments
    Then 0 agents are queried for it
    When agent h16 replies that it holds the flow
    Then agent h16 gets 6 segments of it

  Scenario: Questions that nobody answers get rarer
    Given a balancer with 30 agents of rounds
    When a segment of an unknown flow to rounds arrives
    And 0 agents report and deny it while the caller retransmits it for 3 s
    Then agents were queried at most 80 times

  # Guards against a storm after a loss of power: every open flow is unknown,
  # and each was asked for with a datagram to every agent, twice.
  Scenario: One question asks an agent for many flows
    Given a balancer with 30 agents of rounds
    When segments of 60 unknown flows to rounds arrive at once
    And all agents deny all queried flows for 1 s
    Then all 60 flows are reset
    And each agent got at most 8 queries

  # Guards against FLOW (b): agents that restarted show a flow that they do not
  # know to their upstreams, which must not get many segments of it.
  Scenario: An upstream is shown an unknown flow only after all others denied it
    Given a balancer with the agents a, b, c of rounds and d of wheelbook
    When a segment of an unknown flow to rounds arrives
    And agents a, b are uncertain of the flow
    Then no agent gets a segment of it
    When agents c deny the flow
    Then the agents a, b are probed with a segment of it

  # Guards against a search without end: an upstream need not answer a segment
  # without data, so its agent stayed unsure.
  Scenario: An unsure agent's upstream is shown a segment with data
    Given a balancer with the agents a, b, c of rounds and d of wheelbook
    When an acknowledgement of an unknown flow to rounds arrives
    And agents a, b are uncertain of the flow
    And the caller sends 1 segments
    And agents c deny the flow
    Then the agents a, b are probed with a segment of it with data

  # Guards against a second copy of the request at its upstream.
  Scenario: A segment that an upstream was shown is not sent to it again
    Given a balancer with the agents a, b, c of rounds and d of wheelbook
    When a segment of an unknown flow to rounds arrives
    And agents a, b are uncertain of the flow
    And agents c deny the flow
    Then the agents a, b are probed with a segment of it
    When agent a claims the flow after the probe
    Then agent a gets 0 segments of it

  # Guards against strays: an upstream must not get what another one holds.
  Scenario: An upstream is shown no flow that another agent claims
    Given a balancer with the agents a, b, c of rounds and d of wheelbook
    When a segment of an unknown flow to rounds arrives
    And agents a, b are uncertain of the flow
    And agent c replies that it holds the flow
    Then agent c gets 1 segments of it

  # Guards against FLOW (a): the agent that holds a flow may be newer than the
  # balancer's list of agents.
  Scenario: A flow that all known agents deny is not reset before a new list
    Given a balancer with the agents a, b, c of rounds and d of wheelbook
    When the store cannot be reached
    And a segment of an unknown flow to rounds arrives
    And agents a, b, c deny the flow
    Then the list of agents is read again
    When 0.1 s pass
    And agents a, b, c deny the flow
    Then the caller gets no reset
    When the store answers again with agent e of rounds in its list
    And 0.3 s pass
    Then agent e is queried for it
    When agent e replies that it holds the flow
    Then agent e gets 1 segments of it

  # Guards against a search that waits for hosts that are gone.
  Scenario: Agents that report are asked first
    Given a balancer with 30 agents of rounds
    When 22 of its agents stay silent for 1.5 s while the others report
    And a segment of an unknown flow to rounds arrives
    Then the 8 agents that report are queried for it

  # Guards against traffic between failure domains that buys nothing: half of
  # all flows left their domain (grown deployment).
  Scenario: New flows stay in the failure domain while it has room
    Given a balancer in abay with 6 agents there and 12 in enbek
    When 400 callers open flows to rounds, two between reports
    Then at least 95 percent of them are offered to agents in abay

  # Guards against long flows that pile up in one domain: after a restart of
  # all hosts its upstreams answered late for 8 s (shygrind, trouble-3).
  Scenario: Open flows are shared by capacity before domains count
    Given a balancer in abay with 6 agents there and 12 in enbek
    When the agents in abay report 30 open flows and the others 10
    And 400 callers open flows to rounds, two between reports
    Then at most 40 percent of them are offered to agents in abay

  # Guards against a full domain beside an idle one.
  Scenario: Other failure domains take what the own one has no room for
    Given a balancer in abay with 6 agents there and 12 in enbek
    When the agents in abay report 6 requests in progress
    And 400 callers open flows to rounds, two between reports
    Then at most 10 percent of them are offered to agents in abay

  # Guards against seconds without reports: an agent that restarted knows no
  # balancer, and subscriptions are rare in a large fleet.
  Scenario: An agent whose report is overdue is asked for reports soon
    Given a balancer with 60 agents of rounds
    And the balancer has just subscribed to all agents
    When 1.5 s pass in which h7 does not report
    Then h7 alone got subscriptions, at least twice
