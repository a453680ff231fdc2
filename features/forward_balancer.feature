Feature: A forwarding balancer places flows and looks up their holders

  # Guards against openings that are not forwarded.
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

  # Guards against fault FLOW (b): flows broken by a re-hash of the network.
  Scenario: A flow that another balancer opened is looked up
    Given a balancer with the agents a, b, c of rounds and d of wheelbook
    When a segment of an unknown flow to rounds arrives
    Then the agents a, b, c are queried for it
    When agent b replies that it holds the flow
    And the caller sends 3 segments
    Then they all go to agent b

  # Guards against resets of open flows: only the holder's denial counts.
  Scenario: Denials of agents that never held a flow reset nothing
    Given a balancer with the agents a, b, c of rounds and d of wheelbook
    When a segment of an unknown flow to rounds arrives
    And agents a, c deny the flow
    Then the caller gets no reset

  # Guards against fault FLOW (a): a balancer that looked only among the agents
  # of the route's present service reset the open flows of the former one.
  Scenario: The holder of a flow is looked up in its route's former services
    Given a balancer with the agents a, b, c of rounds and d of wheelbook
    When the route moves to wheelbook in version 6
    And a segment of an unknown flow to rounds arrives
    Then the agents a, b, c, d are queried for it
    When agents a, c, d deny the flow
    And 0.1 s pass
    And agents a, c, d deny the flow
    Then the caller gets no reset
    When agent b replies that it holds the flow
    And the caller sends 3 segments
    Then they all go to agent b

  # Guards against fault FLOW (a) at a balancer that started after the change, or
  # whose peer still has the configuration from before it.
  Scenario: A balancer learns the former services of a route from a peer
    Given a balancer that started after its route moved to wheelbook
    When a peer with version 5 of rounds shares its state
    And a segment of an unknown flow to rounds arrives
    Then the agents a, b, c, d are queried for it

  # Guards against lookups among services that a dropped route once led to.
  Scenario: A dropped route has no former services
    Given a balancer with the agents a, b, c of rounds and d of wheelbook
    When the route moves to wheelbook in version 6
    And a configuration of version 7 without routes arrives
    And the route moves to wheelbook in version 8
    And a segment of an unknown flow to rounds arrives
    Then only agent d is queried for it

  # Guards against callers that wait for a flow whose host lost power: no agent
  # holds it any more.
  Scenario: A flow that all agents deny twice is reset
    Given a balancer with the agents a, b, c of rounds and d of wheelbook
    When a segment of an unknown flow to rounds arrives
    And agents a, b, c deny the flow
    Then the caller gets no reset
    When 0.1 s pass
    Then the agents a, b, c are queried for it
    When agents a, b, c deny the flow
    Then the caller gets a reset near its acknowledgement

  # Guards against fault FLOW (a): a partitioned agent may hold the flow.
  Scenario: A flow is not reset while an agent of its service is silent
    Given a balancer with the agents a, b, c of rounds and d of wheelbook
    When agent a stays silent for 1.5 s while others report
    And a segment of an unknown flow to rounds arrives
    And agents b, c deny the flow
    And 0.1 s pass
    And agents b, c deny the flow
    Then the caller gets no reset

  # Guards against callers that wait for a host that does not return.
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
    And the agent that was offered the flow claims it
    And the agent that was offered the flow denies it
    Then the caller gets a reset near its acknowledgement

  # Guards against fault FLOW (a): another agent holds the flow, as a duplicate
  # of the opening went through another balancer.  A holder counted as confirmed
  # one second after it was assumed, although its denial was lost or the caller
  # sent nothing more through this balancer (spec/forwarding.lp, "aging").
  Scenario Outline: The denial of an assumed holder resets nothing
    Given a balancer with the agents a, b, c of rounds and d of wheelbook
    When a caller opens a flow to rounds
    And the caller sends 1 segments
    And <seconds> s pass with reports of all agents
    And the agent that was offered the flow denies it
    Then the caller gets no reset
    And the two other agents of rounds are queried for it

    Examples:
      | seconds |
      | 0       |
      | 1.2     |
      | 14      |

  # Guards against holders that stay unconfirmed: an agent claims a flow only in
  # reply to a probe, and the claim may get lost.
  Scenario: An assumed holder is probed until it claims the flow
    Given a balancer with the agents a, b, c of rounds and d of wheelbook
    When a caller opens a flow to rounds
    And the caller sends 3 segments
    Then 1 of the 3 segments is a probe
    When 0.3 s pass
    And the caller sends 3 segments
    Then 1 of the 3 segments is a probe
    When the agent that was offered the flow claims it
    And 0.3 s pass
    And the caller sends 3 segments
    Then 0 of the 3 segments is a probe

  # Guards against a refusal while other upstreams have free slots.
  Scenario: A declined flow is offered to another agent
    Given a balancer with the agents a, b, c of rounds and d of wheelbook
    When a caller opens a flow to rounds
    And the agent that was offered the flow declines it
    Then another agent of rounds is offered the flow

  # Guards against callers that use up their attempts in a short overload.
  Scenario: A flow that all agents decline for now is queued
    Given a balancer with the agents a, b, c of rounds and d of wheelbook
    When a caller opens a flow to rounds
    And every agent that is offered the flow declines it
    Then no agent is offered the flow and the caller gets no reset
    When 0.05 s pass
    Then one agent of rounds is offered the flow

  # Guards against an overload that multiplies messages.
  Scenario: An overloaded agent gets no offers for a moment after its decline
    Given a balancer with the agents a, b, c of rounds and d of wheelbook
    When a caller opens a flow to rounds
    And every agent that is offered the flow declines it
    And 5 callers open flows to rounds
    Then no agent is offered the flow and the caller gets no reset

  # Guards against a queue time beyond the caller's timeout: the caller must
  # still get the reset, which tells it that no request has run.
  Scenario: A flow that is not placed before its caller gives up is refused
    Given a balancer with the agents a, b, c of rounds and d of wheelbook
    When a caller opens a flow to rounds
    And every agent that is offered the flow declines it
    And 1.25 s pass
    Then the caller gets a reset

  # Guards against flows queued for a service without agents.
  Scenario: A flow to a service without agents is refused at once
    Given a balancer with a route and a complete list without agents
    When a caller opens a flow to rounds
    Then the caller gets a reset

  # Guards against refusals by a balancer that has just started.
  Scenario: A flow is queued while the list of agents is not complete
    Given a balancer with a route and no list of agents
    When a caller opens a flow to rounds
    Then no agent is offered the flow and the caller gets no reset

  # Guards against urgent flows queued behind less urgent ones.
  Scenario: Queued flows are placed by urgency, then by age
    Given a balancer with the agents a, b, c of rounds and d of wheelbook
    When flows of urgency 2, 2, 1, 0, 1 wait in this order
    Then they are offered in the order 4, 3, 5, 1, 2

  # Guards against an overload in which every answer is late.
  Scenario: Flows that can still meet their goal go before those that cannot
    Given a balancer with the agents a, b, c of rounds and d of wheelbook
    When flows of urgency 0, 1, 1, 2 wait in this order
    Then after 2 of them missed their goal the order is 3, 4, 1, 2

  # Guards against a first attempt that fails because of a dead upstream.
  Scenario: A retransmitted opening goes to a second agent
    Given a balancer with the agents a, b, c of rounds and d of wheelbook
    When a caller opens a flow to rounds
    And the caller retransmits its opening after 0.2 s
    Then two different agents were offered the flow
    When the caller sends 1 segments
    Then both offered agents are probed for it

  # Guards against new flows to hosts that crashed.
  Scenario: An agent without reports gets no new flows
    Given a balancer with the agents a, b, c of rounds and d of wheelbook
    When agent a stays silent for 1.5 s while others report
    And 200 callers open flows to rounds
    Then agent a is offered none of them

  # Guards against a service that loses its agents through an empty list.
  Scenario: New flows are queued until an agent reports
    Given a balancer with a route but without reports
    When a caller opens a flow to rounds
    Then no agent is offered the flow and the caller gets no reset
    When agent a reports that it takes flows
    Then agent a is offered the flow

  # Guards against refusals that come too late for the caller.
  Scenario: A flow that no agent accepts in time is refused
    Given a balancer with a route but without reports
    When a caller opens a flow to rounds
    And 1.25 s pass
    Then the caller gets a reset

  # Guards against fault CONFIG: an older configuration replaces a newer one.
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

  # Guards against faults FLOW (a) and RECOVER: the record of a host that was gone
  # for good hid the agent that used its address again, as a list is in the order
  # of names.
  Scenario Outline: The newest record of an address counts in any order
    Given a balancer with the agents a, b, c of rounds and d of wheelbook
    When the store lists at one address x of rounds at revision <x> and y of wheelbook at revision <y>
    Then of these two only <host> is known

    Examples:
      | x  | y  | host |
      | 30 | 20 | x    |
      | 20 | 30 | y    |

  # Guards against a stale watch that brings back an earlier record of a host.
  Scenario: An older record of a host changes nothing
    Given a balancer with the agents a, b, c of rounds and d of wheelbook
    When agent x is listed as of rounds at revision 30
    And agent x is listed as of wheelbook at revision 20
    Then agent x is of rounds

  # Guards against offers to an agent whose address another service now uses.
  Scenario: Another service at a known address replaces its agent
    Given a balancer with the agents a, b, c of rounds and d of wheelbook
    When an agent e of wheelbook announces itself at the address of a
    And 200 callers open flows to rounds
    Then agents a, e are offered none of them

  # Guards against load that accumulates at slow upstreams.
  Scenario: Flows are placed by the reported service times
    Given a balancer with the agents a, b, c of rounds and d of wheelbook
    And agent a takes 60 ms for a request and the others 20 ms
    When 600 callers open flows to rounds
    Then agent a is offered between 3 and 25 percent of them

  # Guards against a call to the store for each retransmission: after a loss of
  # power callers close flows that no upstream holds any more, and nothing is
  # reset for them (250 of 418 calls on large trouble-1, --small).
  Scenario Outline: The list of agents is read seldom for flows without data
    Given a balancer with the agents a, b, c of rounds and d of wheelbook
    When callers send segments <kind> data on lost flows every 0.1 s for 10 s
    Then the list of agents is read <least> to <most> times

    Examples:
      | kind    | least | most |
      | without | 2     | 3    |
      | with    | 15    | 21   |

  # Guards against lookups that start over while the list of agents is read:
  # after a loss of power 90 percent of them took 6 s (grown Lima, trouble-2).
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

  # Guards against declined flows that count as load of an agent: in an incident
  # the count reached 65, and the agent got no more flows.
  Scenario: Declined flows do not count as load after the agent's next report
    Given a balancer with the agents a, b, c of rounds and d of wheelbook
    When agent a alone declines 300 flows, and then all report
    And 200 callers open flows to rounds
    Then agent a is offered between 20 and 45 percent of them

  # Guards against fault FLOW (a): a balancer refuses a queued flow that another
  # balancer has placed after a duplicate of the opening.
  Scenario: A queued flow that another balancer has opened is not refused
    Given a balancer with the agents a, b, c of rounds and d of wheelbook
    When a caller opens a flow to rounds
    And every agent that is offered the flow declines it
    And the caller sends 1 segments
    And 1.25 s pass
    Then the caller gets no reset

  # Guards against a lookup that stops after its first round: one of the agents
  # was silent, and the others were not queried (grown deployment, trouble-1).
  Scenario: A lookup goes on past agents that do not reply
    Given a balancer with 30 agents of rounds
    When a segment of an unknown flow to rounds arrives
    Then 8 agents are queried for it
    When 7 of them deny it and 0.5 s pass
    Then all 30 agents were queried for it

  # Guards against a flow that no lookup finds after a re-hash.
  Scenario: A new flow goes to one of the agents that a lookup queries first
    Given a balancer with 30 agents of rounds
    When a caller opens a flow to rounds
    And another balancer looks up that flow
    Then the agent that was offered the flow is among the first 8 queried

  # Guards against fault FLOW (a): after a re-hash a balancer whose
  # configuration is stale gets a packet of an open flow to a new route.
  Scenario: A segment to an unknown route is dropped
    Given a balancer with the agents a, b, c of rounds and d of wheelbook
    When a segment of an unknown flow to an unknown route arrives
    Then the caller gets no reset

  # Guards against a balancer in rotation without agents.
  Scenario: A balancer is ready once the list of agents is complete
    Given a balancer with a route and no list of agents
    Then the balancer is not ready
    Given a balancer with a route and a complete list without agents
    Then the balancer is ready

  # Guards against a reset outside the caller's window.
  Scenario: A late duplicate of the opening does not count as an acknowledgement
    Given a balancer with the agents a, b, c of rounds and d of wheelbook
    When a caller opens a flow to rounds
    And the caller sends 1 segments
    And the agent that was offered the flow claims it
    And the caller retransmits its opening after 1.2 s
    And the agent that was offered the flow denies it
    Then the caller gets a reset near its acknowledgement

  # Guards against an endless lookup: agents of lost hosts never reply, and all
  # others denied the flow before these counted as lost (grown deployment, after
  # a loss of power).
  Scenario: A flow is reset once the agents that did not deny it are lost
    Given a balancer with 30 agents of rounds
    When a segment of an unknown flow to rounds arrives
    And 20 agents report and deny it while the caller retransmits it for 6 s
    Then the caller gets a reset near its acknowledgement

  # Guards against callers that wait 4 s after a loss of power for hosts that
  # did not return (grown deployment, trouble-1).
  Scenario: An agent that has never reported counts as lost sooner
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

  # Guards against fault FLOW (a): a balancer is partitioned from all agents.
  Scenario: A flow is not reset while no agent replies
    Given a balancer with 30 agents of rounds
    When a segment of an unknown flow to rounds arrives
    And 0 agents report and deny it while the caller retransmits it for 6 s
    Then the caller gets no reset

  # Guards against lookups that fill a link of 5 Mbit/s: each segment of a flow
  # went to 8 agents (grown deployment, after a loss of power).
  Scenario: The segments of a flow are queued until its holder is found
    Given a balancer with 30 agents of rounds
    When a segment of an unknown flow to rounds arrives
    And the caller sends 5 segments
    Then 0 agents are queried for it
    When agent h16 replies that it holds the flow
    Then agent h16 gets 6 segments of it

  Scenario: Queries without a reply back off
    Given a balancer with 30 agents of rounds
    When a segment of an unknown flow to rounds arrives
    And 0 agents report and deny it while the caller retransmits it for 3 s
    Then agents were queried at most 80 times

  # Guards against a storm of queries after a loss of power: every open flow is
  # unknown, and each caused two datagrams to every agent.
  Scenario: One query asks an agent for many flows
    Given a balancer with 30 agents of rounds
    When segments of 60 unknown flows to rounds arrive at once
    And all agents deny all queried flows for 1 s
    Then all 60 flows are reset
    And each agent got at most 8 queries

  # Guards against fault FLOW (b): restarted agents probe their upstreams, which
  # must not get many segments of flows that others hold.
  Scenario: An upstream is probed only after all other agents denied the flow
    Given a balancer with the agents a, b, c of rounds and d of wheelbook
    When a segment of an unknown flow to rounds arrives
    And agents a, b are uncertain of the flow
    Then no agent gets a segment of it
    When agents c deny the flow
    Then the agents a, b are probed with a segment of it

  # Guards against an endless lookup: an upstream need not answer a segment
  # without data, so its agent stayed uncertain.
  Scenario: An uncertain agent's upstream is probed with a data segment
    Given a balancer with the agents a, b, c of rounds and d of wheelbook
    When an acknowledgement of an unknown flow to rounds arrives
    And agents a, b are uncertain of the flow
    And the caller sends 1 segments
    And agents c deny the flow
    Then the agents a, b are probed with a data segment of it

  # Guards against a duplicate of the request at its upstream.
  Scenario: The segment of a probe is not sent to the same upstream again
    Given a balancer with the agents a, b, c of rounds and d of wheelbook
    When a segment of an unknown flow to rounds arrives
    And agents a, b are uncertain of the flow
    And agents c deny the flow
    Then the agents a, b are probed with a segment of it
    When agent a claims the flow after the probe
    Then agent a gets 0 segments of it

  # Guards against segments at an upstream that does not hold their flow.
  Scenario: No upstream is probed for a flow that another agent claims
    Given a balancer with the agents a, b, c of rounds and d of wheelbook
    When a segment of an unknown flow to rounds arrives
    And agents a, b are uncertain of the flow
    And agent c replies that it holds the flow
    Then agent c gets 1 segments of it

  # Guards against fault FLOW (a): the holder may be newer than the balancer's
  # list of agents.
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

  # Guards against a lookup that waits for lost hosts.
  Scenario: Agents that report are queried first
    Given a balancer with 30 agents of rounds
    When 22 of its agents stay silent for 1.5 s while the others report
    And a segment of an unknown flow to rounds arrives
    Then the 8 agents that report are queried for it

  # Guards against needless traffic between failure domains: half of all flows
  # left their domain (grown deployment).
  Scenario: New flows stay in the failure domain while it has free slots
    Given a balancer in abay with 6 agents there and 12 in enbek
    When 400 callers open flows to rounds, two between reports
    Then at least 95 percent of them are offered to agents in abay

  # Guards against a choice among fewer upstreams in a deployment without other
  # failure domains.
  Scenario: In a single failure domain a flow is placed among eight upstreams
    Given a balancer with 20 agents of rounds
    Then one flow is placed among 8 of them

  # Guards against long flows that accumulate in one domain: after a restart of
  # all hosts its upstreams answered late for 8 s (shygrind, trouble-3).
  Scenario: Balanced open flows have precedence over the own failure domain
    Given a balancer in abay with 6 agents there and 12 in enbek
    When the agents in abay report 30 open flows and the others 10
    And 400 callers open flows to rounds, two between reports
    Then at most 40 percent of them are offered to agents in abay

  # Guards against an overloaded domain beside an idle one.
  Scenario: Other failure domains get flows when the own one has no free slots
    Given a balancer in abay with 6 agents there and 12 in enbek
    When the agents in abay report 6 requests in progress
    And 400 callers open flows to rounds, two between reports
    Then at most 10 percent of them are offered to agents in abay

  # Guards against a cost for each flow that grows with the fleet: all agents of
  # the service were filtered and ranked for each new or unknown flow.
  Scenario: The agents examined for a flow do not grow with the service
    Given a balancer with 1000 agents of rounds
    When a caller opens a flow to rounds
    Then at most 40 agents were examined
    When a segment of an unknown flow to rounds arrives
    Then 8 agents are queried for it
    And at most 40 agents were examined

  # Guards against lookups whose queries grow with the fleet: the second round
  # went to all agents.
  Scenario Outline: A flow is found with few queries while agents come and go
    Given a balancer with 300 agents of rounds in 4 failure domains
    When 40 flows are placed while <away> percent of the agents are away
    And another balancer in <domain> with <new> more agents looks them up
    Then each holder was among the first 168 agents queried
    And 90 percent of them were among the first 40

    Examples:
      | away | new | domain |
      | 0    | 0   | abay   |
      | 50   | 0   | abay   |
      | 10   | 30  | abay   |
      | 10   | 30  | enbek  |

  # Guards against a refusal while a few agents of a large service accept flows:
  # none of them is among those that the flow prefers.
  Scenario: A flow goes to the only agent of a large service that accepts flows
    Given a balancer with 600 agents of rounds
    When all agents but h17 decline new flows
    And a caller opens a flow to rounds
    And 0.1 s pass
    Then agent h17 was offered the flow

  # Guards against refusals while an upstream warms up, and against offers that
  # it declines again: they cost the flow time.
  Scenario: A flow that a warming upstream declines goes to another agent
    Given a balancer with the agents a, b, c of rounds and d of wheelbook
    When a caller opens a flow to rounds
    And the agent that was offered the flow declines it as "warming-up"
    Then another agent of rounds is offered the flow
    And the caller gets no reset

  # Guards against offers to a warming upstream that cannot take them yet, and
  # against one that gets nothing for longer than needed.
  Scenario Outline: A warming upstream is spared for a tenth of a second
    Given a balancer with the agents a, b, c of rounds and d of wheelbook
    When agent a alone declines 1 flows as "warming-up", and then all report
    And <seconds> s pass with reports of all agents
    And 200 callers open flows to rounds
    Then agent a is offered <share> of them

    Examples:
      | seconds | share |
      | 0.09    | none  |
      | 0.11    | some  |

  # Guards against a pause that an earlier offer's decline shortens.
  Scenario: A decline because of overload does not shorten the pause
    Given a balancer with the agents a, b, c of rounds and d of wheelbook
    When agent a declines 2 flows at once, as "warming-up" and "overload"
    And 0.09 s pass with reports of all agents
    And 200 callers open flows to rounds
    Then agent a is offered none of them

  # Guards against refusals while all upstreams of a service warm up.
  Scenario: A flow waits while all upstreams are warming up
    Given a balancer with the agents a, b, c of rounds and d of wheelbook
    When a caller opens a flow to rounds
    And every agent that is offered the flow declines it as "warming-up"
    Then no agent is offered the flow and the caller gets no reset
    When 0.09 s pass
    Then no agent is offered the flow and the caller gets no reset
    When 0.02 s pass
    Then one agent of rounds is offered the flow

  # Guards against an agent that applies the rate of another service, or keeps
  # one that a newer configuration has ended.
  Scenario: An agent gets the rate of its own service
    Given a balancer with the agents a, b, c of rounds and d of wheelbook
    When a configuration of version 6 limits rounds to 12.5 a second
    Then it sends the rates a=12.5, b=12.5, c=12.5 and d=0
    When 2.1 s pass
    Then it sends the rates a=12.5, b=12.5, c=12.5 and d=0
    When a configuration of version 7 limits wheelbook to 3 a second
    Then it sends the rates a=0, b=0, c=0 and d=3

  # Guards against a balancer that ends because of a configuration from a peer,
  # as its subscriptions cannot carry the rate.
  Scenario Outline: A configuration with an impossible rate is malformed
    Then a peer's configuration with the rate <rate> cannot be decoded

    Examples:
      | rate |
      | -1.0 |
      | 0.0  |
      | 1e10 |

  # Guards against an upgrade in which daemons of two releases do not understand
  # each other's subscriptions.
  Scenario: Subscriptions are understood by older and newer releases
    Then a subscription of an older release has no rate
    And a subscription with the rate 12.5 is read by an older release

  # Guards against larger control traffic of deployments without rates and
  # evacuations: the rate, the idle timeout, a record in place, and the state of
  # the failure domain.
  Scenario: Fields of newer releases that are not used add one byte each to a subscription
    Given a balancer with the agents a, b, c of rounds and d of wheelbook
    When 2.1 s pass
    Then its subscriptions are 4 bytes longer than those of an older release

  # Guards against new flows to upstreams that are to be left alone: by the
  # preference for the own domain, for lack of room in it, or at random.
  Scenario Outline: A new flow goes to no upstream of an evacuated domain
    Given a balancer in abay with the agents a, b there and c, d in enbek
    When <domain> is evacuated
    And the agents a, b report <count> requests in progress
    And 200 callers open flows to rounds
    Then agents <hosts> are offered none of them

    Examples:
      | domain | count | hosts |
      | abay   | 0     | a, b  |
      | enbek  | 0     | c, d  |
      | enbek  | 8     | c, d  |

  # Guards against a new flow to the one agent that accepts some, found by the
  # scan of all agents: h17 is in enbek.
  Scenario Outline: A scan of all agents skips those of evacuated domains
    Given a balancer with 600 agents of rounds in 4 failure domains
    When all agents but h17 decline new flows
    And <domain> is evacuated
    And a caller opens a flow to rounds
    And 0.1 s pass
    Then <outcome>

    Examples:
      | domain | outcome                        |
      | enbek  | no agent was offered the flow  |
      | abay   | agent h17 was offered the flow |

  # Guards against an opening that reaches an upstream after its domain was
  # evacuated: a retransmission before or after the time-out of an offer.
  Scenario Outline: A retransmitted opening goes to no evacuated upstream
    Given a balancer in abay with the agents a, b there and c, d in enbek
    When a caller opens a flow to rounds
    Then one agent in abay alone is offered the flow
    When abay is evacuated
    And the caller retransmits its opening after <seconds> s
    Then one agent in enbek alone is offered the flow
    When the caller sends 1 segments
    Then both offered agents are probed for it

    Examples:
      | seconds |
      | 0.05    |
      | 0.2     |

  # Guards against an opening that is sent again to the evacuated upstream, or
  # refused although that upstream may have accepted it, as no other has room.
  # It is queued instead.
  Scenario: A retransmitted opening waits for an upstream that is in use
    Given a balancer in abay with the agents a, b there and c, d in enbek
    When a caller opens a flow to rounds
    And the agents c, d report that they take no flows
    And abay is evacuated
    And the caller retransmits its opening after 0.2 s
    Then no agent is offered the flow and the caller gets no reset
    When 0.05 s pass
    Then no agent is offered the flow and the caller gets no reset
    When the agents d report that they take new flows
    Then one agent in enbek alone is offered the flow

  # Guards against a refusal of a flow that the evacuated upstream may have
  # accepted, so that its request may run.
  Scenario Outline: A flow that was offered before an evacuation is not refused
    Given a balancer in abay with the agents a, b there and c, d in enbek
    When a caller opens a flow to rounds
    And the agents c, d report that they take no flows
    And <domains> evacuated
    Then the caller gets no reset
    When the caller retransmits its opening after 0.2 s
    Then no agent is offered the flow and the caller gets no reset
    When 1.3 s pass
    Then no agent is offered the flow and the caller gets no reset
    When the caller sends 1 segments
    Then the segment goes to the agent that was offered the flow first

    Examples:
      | domains            |
      | abay is            |
      | abay and enbek are |

  # Guards against the same for a flow that is queued when the last domain in
  # use is evacuated.
  Scenario: A queued flow that was offered before is not refused
    Given a balancer in abay with the agents a, b there and c, d in enbek
    When a caller opens a flow to rounds
    And the agents c, d report that they take no flows
    And abay is evacuated
    And the caller retransmits its opening after 0.2 s
    And enbek is evacuated
    Then the caller gets no reset

  # Guards against an opening that returns to an evacuated upstream after a
  # decline, as the last agent that was offered it or in the next turn.
  Scenario: A declined opening goes to no evacuated upstream
    Given a balancer in abay with the agents a, b there and c, d in enbek
    When a caller opens a flow to rounds
    And abay is evacuated
    And the caller retransmits its opening after 0.2 s
    And the agent that got the last offer declines it
    Then one agent in enbek alone is offered the flow
    When the agent that got the last offer declines it
    Then no agent is offered the flow and the caller gets no reset
    When 0.05 s pass
    Then one agent in enbek alone is offered the flow

  # Guards against the same for an upstream that itself declined the opening.
  Scenario: An opening that an evacuated upstream declined goes elsewhere
    Given a balancer in abay with the agents a, b there and c, d in enbek
    When a caller opens a flow to rounds
    And abay is evacuated
    And the agent that got the last offer declines it
    Then one agent in enbek alone is offered the flow

  # Guards against queued flows that are placed by what held when they came.
  Scenario: A queued opening goes to no evacuated upstream
    Given a balancer in abay with the agents a, b there and c, d in enbek
    When the agents a, b, c, d report that they take no flows
    And a caller opens a flow to rounds
    And abay is evacuated
    And the agents a, b report that they take new flows
    Then no agent is offered the flow and the caller gets no reset
    When the agents c report that they take new flows
    Then one agent in enbek alone is offered the flow

  # Guards against callers that wait although no upstream will take their flow.
  Scenario: A flow is refused at once if all domains of its service are evacuated
    Given a balancer in abay with the agents a, b there and c, d in enbek
    When abay and enbek are evacuated
    And a caller opens a flow to rounds
    Then no segment is sent
    And the flow is refused because of the evacuation

  # Guards against the same for flows that are queued when it happens.
  Scenario: A queued flow is refused once all domains are evacuated
    Given a balancer in abay with the agents a, b there and c, d in enbek
    When the agents a, b, c, d report that they take no flows
    And a caller opens a flow to rounds
    And abay is evacuated
    Then the caller gets no reset
    When enbek is evacuated
    Then the flow is refused because of the evacuation

  # Guards against a domain that stays out of use.
  Scenario Outline: A domain is used again once its evacuation has ended
    Given a balancer in abay with the agents a, b there and c, d in enbek
    When abay and enbek are evacuated
    And <end>
    And a caller opens a flow to rounds
    Then one agent in abay alone is offered the flow
    And the events evacuation-ended domain=abay are recorded

    Examples:
      | end                          |
      | the evacuation of abay ends  |
      | a full list names enbek only |

  # Guards against events that are recorded for each list with the same content.
  Scenario: An evacuation is recorded once
    Given a balancer in abay with the agents a, b there and c, d in enbek
    When enbek is evacuated
    Then the events evacuate domain=enbek are recorded
    When abay is evacuated
    And a full list names abay only
    Then the events evacuation-ended domain=enbek are recorded

  # Guards against open flows that are moved, which would break them.
  Scenario: Open flows of an evacuated domain keep their holder
    Given a balancer in abay with the agents a, b there and c, d in enbek
    When a caller opens a flow to rounds
    And abay is evacuated
    And the caller sends 20 segments
    Then they all go to the agent that was offered the flow
    When the agent that was offered the flow claims it
    And the caller sends 20 segments
    Then they all go to the agent that was offered the flow

  # Guards against fault FLOW (a): an open flow of an evacuated domain that is
  # not found after a re-hash.
  Scenario: Agents of evacuated domains are queried for open flows
    Given a balancer in abay with the agents a, b there and c, d in enbek
    When abay and enbek are evacuated
    And a segment of an unknown flow to rounds arrives
    Then the agents a, b, c, d are queried for it
    When agent b replies that it holds the flow
    And the caller sends 3 segments
    Then they all go to agent b

  # Guards against an opening that counts as a new flow of the evacuated
  # upstream: a late duplicate, or a flow from a port that is used again.
  Scenario: An opening with the key of an open flow goes to no evacuated upstream
    Given a balancer in abay with the agents a, b there and c, d in enbek
    When a caller opens a flow to rounds
    And the caller sends 1 segments
    And the agent that was offered the flow claims it
    And abay is evacuated
    And the caller's opening arrives once more
    Then no segment is sent
    When the caller sends 1 segments
    Then the segment goes to the agent that was offered the flow first
    When the caller opens another flow from the same port
    Then one agent in enbek alone is offered the flow

  # Guards against a late duplicate that counts as a new flow and replaces the
  # open one, as the port was used again before the evacuation.
  Scenario: A duplicate of the newest opening from a port changes nothing
    Given a balancer in abay with the agents a, b there and c, d in enbek
    When a caller opens a flow to rounds
    And the caller sends 1 segments
    And the agent that was offered the flow claims it
    And the caller opens another flow from the same port
    And abay is evacuated
    And the caller opens another flow from the same port
    Then no segment is sent
    When the caller sends 1 segments
    Then the segment goes to the agent that was offered the flow first

  # Guards against openings that are withheld until the former flow from the port
  # expires: a balancer that has looked up the holder has not seen the sequence
  # number of the former opening.
  Scenario Outline: A port of a flow that was looked up is used again
    Given a balancer in abay with the agents a, b there and c, d in enbek
    When a segment of an unknown flow to rounds arrives
    And agent b replies that it holds the flow
    And abay is evacuated
    And the caller opens another flow from the same port with sequence <seq>
    Then one agent in enbek alone is offered the flow

    Examples:
      | seq        |
      | 2000       |
      | 4000000000 |

  # Guards against callers that are neither answered nor refused: the holder of the
  # former flow drains, is full or is cold, and its decline was ignored as the
  # balancer knew the former flow as open.
  Scenario Outline: An opening from a reused port that the holder declines goes on
    Given a balancer in abay with the agents a, b there and c, d in enbek
    When a segment of an unknown flow to rounds arrives
    And agent b replies that it holds the flow
    And the caller opens another flow from the same port
    And agent b declines that opening as <reason>
    Then one agent other than b is offered the flow

    Examples:
      | reason     |
      | leaving    |
      | overload   |
      | warming-up |

  # Guards against an open flow that is forgotten because of a late copy.
  Scenario Outline: A decline that is no reply to a new opening changes nothing
    Given a balancer in abay with the agents a, b there and c, d in enbek
    When a segment of an unknown flow to rounds arrives
    And agent b replies that it holds the flow
    And the caller opens another flow from the same port with sequence <seq>
    And agent <host> declines that opening as <reason>
    Then no segment is sent
    When the caller sends 3 segments
    Then they all go to agent b

    Examples:
      | seq  | host | reason       |
      | 999  | b    | leaving      |
      | 2000 | a    | leaving      |
      | 2000 | b    | late-opening |

  # Guards against a late copy of the former opening that counts as a new flow.
  Scenario: A late copy of a flow's opening changes nothing at another balancer
    Given a balancer in abay with the agents a, b there and c, d in enbek
    When a segment of an unknown flow to rounds arrives
    And agent b replies that it holds the flow
    And abay is evacuated
    And the caller opens another flow from the same port with sequence 999
    Then no segment is sent
    When the caller sends 3 segments
    Then they all go to agent b

  # Guards against the same for an opening that a lookup queued, or that reached
  # the holder just before the evacuation: its caller still waits for an answer.
  Scenario Outline: A caller whose opening was withheld retransmits it
    Given a balancer in abay with the agents a, b there and c, d in enbek
    When a segment of an unknown flow to rounds arrives
    And <first>
    And <second>
    And abay is evacuated
    And the caller opens another flow from the same port
    And the caller retransmits that opening
    Then one agent in enbek alone is offered the flow

    Examples:
      | first                                          | second                                         |
      | agent b replies that it holds the flow         | the caller opens another flow from the same port |
      | the caller opens another flow from the same port | agent b replies that it holds the flow         |

  # Guards against a late copy with a higher number that replaces an open flow.
  Scenario: A late retransmission of an acknowledged opening changes nothing
    Given a balancer in abay with the agents a, b there and c, d in enbek
    When a segment of an unknown flow to rounds arrives
    And agent b replies that it holds the flow
    And the caller opens another flow from the same port
    And the caller sends 1 segments
    And abay is evacuated
    And the caller retransmits that opening
    Then no segment is sent
    When the caller sends 3 segments
    Then they all go to agent b

  # Guards against an opening that was queued in a lookup and then reaches the
  # evacuated holder.
  Scenario: An opening that a lookup has queued goes to no evacuated upstream
    Given a balancer in abay with the agents a, b there and c, d in enbek
    When a segment of an unknown flow to rounds arrives
    And the caller's opening arrives once more
    And abay is evacuated
    And agent b replies that it holds the flow
    Then agent b gets 1 segments of it

  # Guards against a new balancer that sends flows to evacuated upstreams until
  # it has learned of the evacuation, or that never serves without the list.
  Scenario: A new balancer places no flow until it knows the evacuations
    Given a balancer in abay with the agents a, b there and c, d in enbek
    And the balancer waits 3 s for the list of evacuations
    When a caller opens a flow to rounds
    Then no agent is offered the flow and the caller gets no reset
    When a full list names abay only
    And a caller opens a flow to rounds
    Then one agent in enbek alone is offered the flow
    Given a balancer in abay with the agents a, b there and c, d in enbek
    And the balancer waits 3 s for the list of evacuations
    When 3 s pass with reports of all agents
    And a caller opens a flow to rounds
    Then one agent in abay alone is offered the flow

  # Guards against flows that leave the balancer's domain: those that open flows
  # leave behind in an evacuated domain lowered the mean of flows per capacity,
  # and every other upstream seemed to have more than its share.
  Scenario: Upstreams of evacuated domains do not count in the mean of flows
    Given a balancer in abay with the agents a, b there and c, d in enbek
    And the agents e, f of rounds in karatau
    When enbek is evacuated
    And the agents c, d report 0 open flows and the others 100
    And 200 callers open flows to rounds, two between reports
    Then agents c, d, e, f are offered none of them
