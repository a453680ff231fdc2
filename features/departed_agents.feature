Feature: Balancers do not wait for agents that have exited permanently

  # Guards against callers that wait until an agent whose host was removed counts as
  # lost (karoo-lic-grown, trouble-1): 8 to 10 s instead of 0.25 to 0.5 s.

  # Guards against new flows and queries for an agent that cannot reply any more.
  Scenario Outline: An agent that withdrew gets no new flows and no queries
    Given a balancer with the agents a, b, c of rounds and d of wheelbook
    When agent a withdraws as incarnation 1
    Then it is logged once that agent a has withdrawn
    And exactly a is excluded as withdrawn
    When agent a reports as incarnation 1, <form>
    Then exactly a is excluded as withdrawn
    When agent a withdraws as incarnation 1
    Then it is logged once that agent a has withdrawn
    When a segment of an unknown flow to rounds arrives
    Then agents b, c are queried for it
    When 0.4 s pass at the balancer
    Then agent a gets no message

    Examples:
      | form    |
      | full    |
      | compact |

  # Guards against a new agent on the host of a former one that gets no flows.
  Scenario Outline: A report of another incarnation cancels a withdrawal
    Given a balancer with the agents a, b, c of rounds and d of wheelbook
    When agent a withdraws as incarnation 1
    And agent a reports as incarnation 2, <form>
    Then no agent is excluded as withdrawn
    When agent a withdraws as incarnation 1
    Then no agent is excluded as withdrawn
    When agent a withdraws as incarnation 2
    Then exactly a is excluded as withdrawn

    Examples:
      | form    |
      | full    |
      | compact |

  # Guards against resets of flows at a new agent: a message of a former agent of
  # its host arrives late.
  Scenario: A late message of a former incarnation changes nothing
    Given a balancer that knows agent x by its record at revision 20
    When agent x is announced as incarnation 2 at revision 21
    And agent x withdraws as incarnation 1
    Then no agent is excluded as withdrawn
    When agent x reports as incarnation 2, full
    And agent x withdraws as incarnation 1
    Then no agent is excluded as withdrawn

  # Guards against resets of the flows of a live agent: the store applied a write of
  # a former incarnation late, so the record names that one.
  Scenario: A late write of a former incarnation gives its late message no effect
    Given a balancer that knows agent x by its record at revision 20
    When agent x is announced as incarnation 9 at revision 21
    And agent x withdraws as incarnation 9
    Then no agent is excluded as withdrawn

  # Guards against a wait of 2.5 s for an agent that has never reported.
  Scenario: An agent that withdraws before its first report is lost
    Given a balancer that has no report of agent x, with its record at revision 20
    When agent x withdraws as incarnation 2
    Then no agent is excluded as withdrawn
    When agent x withdraws as incarnation 1
    Then exactly x is excluded as withdrawn

  # Guards against a new agent that counts as lost until it reports: its balancer
  # would reset flows that other balancers have placed there.
  Scenario: A record of another incarnation replaces an agent that withdrew
    Given a balancer that knows agent x by its record at revision 20
    When agent x withdraws as incarnation 1
    And agent x is announced as incarnation 1 at revision 21
    Then exactly x is excluded as withdrawn
    When agent x is announced as incarnation 2 at revision 22
    Then exactly x is excluded as no-report
    And agent x gets a subscription
    When agent x withdraws as incarnation 1
    Then exactly x is excluded as no-report

  # Guards against an agent that stays in the table without a record, and against a
  # balancer that ends at a message of an unknown agent.
  Scenario: An agent that withdraws after its record is gone is removed
    Given a balancer that knows agent x by its record at revision 20
    When the record of agent x is gone at revision 21
    And agent x withdraws as incarnation 1
    Then it is logged once that agent x has withdrawn
    And agent x is unknown
    When agent x withdraws as incarnation 1
    Then it is logged once that agent x has withdrawn

  # Guards against lookups that wait 2.5 s for an agent that has exited: a list of
  # records that was requested before the deletion arrives after it.
  Scenario: A list that is older than the deletion does not add the agent again
    Given a balancer that knows agent x by its record at revision 20
    When agent x withdraws as incarnation 1
    And the record of agent x is gone at revision 22
    And agent x is announced as incarnation 1 at revision 20
    Then agent x is unknown
    When agent x is announced as incarnation 2 at revision 23
    Then exactly x is excluded as no-report

  # Guards against an agent that withdrew and displaces, by a late report, the host
  # that has its address now.
  Scenario: A late report does not restore a displaced agent that withdrew
    Given a balancer with the agents a, b, c of rounds and d of wheelbook
    When the store lists at one address x at revision 20 and y, announced at 30 and written again at 40, before x
    And agent x withdraws as incarnation 1
    And agent x reports as incarnation 1, full
    Then of these two only y is known
    When agent x reports as incarnation 2, full
    Then of these two only x is known

  # Guards against a host that gets no flows because an agent that withdrew holds
  # its address by a late write.
  Scenario: An agent that withdrew gives its address to the host that reports
    Given a balancer with the agents a, b, c of rounds and d of wheelbook
    When the store lists at one address x of rounds at revision 20 and y of wheelbook at revision 30
    And agent y reports, full
    And agent y withdraws as incarnation 1
    And agent x reports, full
    Then of these two only x is known

  # Guards against callers that wait for the next timer, or longer.
  Scenario: A search that waited for an agent that withdrew ends at once
    Given a balancer with the agents a, b, c of rounds and d of wheelbook
    When a segment of an unknown flow to rounds arrives
    And agents b, c deny the flow
    And agent a withdraws as incarnation 1
    Then the list of agents is read
    When 0.1 s pass at the balancer
    And agents b, c deny the flow
    Then the flow is reset

  # Guards against the same wait of flows that an uncertain agent may hold.
  Scenario: Uncertain agents are probed as soon as the last other one withdraws
    Given a balancer with the agents a, b, c of rounds and d of wheelbook
    When a segment of an unknown flow to rounds arrives
    And agent b replies that it is uncertain
    And agent c replies that it is uncertain
    And agent a withdraws as incarnation 1
    Then agents b, c are probed for it

  # Guards against requests for reports to an agent that has exited, which left a
  # query unanswered before.
  Scenario: An agent that withdraws while it is queried is not asked for reports
    Given a balancer with the agents a, b, c of rounds and d of wheelbook
    When a segment of an unknown flow to rounds arrives
    And agent a withdraws as incarnation 1
    And 0.4 s pass at the balancer
    Then agent a gets no message

  # Guards against segments sent to an agent that has exited, until the store tells
  # that its record is gone.
  Scenario: The flow of an agent that withdrew is looked up
    Given a balancer with the agents a, b, c of rounds and d of wheelbook
    When a segment of an unknown flow to rounds arrives
    And agent a replies that it holds the flow
    And agent a withdraws as incarnation 1
    And another segment of it arrives
    And 0.1 s pass at the balancer
    Then agents b, c are queried for it

  # Guards against balancers that get the message only from the last of their
  # subscriptions, and against reports that follow it.
  Scenario: An agent that has withdrawn says so to each balancer that asks
    Given an agent of rounds whose upstream is ready
    And an open flow
    When the agent withdraws
    Then 1 subscriber is told that incarnation 7 has withdrawn
    When a balancer subscribes for reports at once
    Then it is told only that incarnation 7 has withdrawn
    When a balancer queries the flow
    Then the reply denies it, and tells that incarnation 7 has withdrawn
    When 1 s passes at the agent
    Then no report is sent

  # Guards against datagrams that get lost, and against a message that waits for the
  # store.
  Scenario Outline: An agent whose upstream has left tells all balancers three times
    Given a store with a route to rounds, 2 balancers and 2 agents of rounds
    When <store>
    And the upstream of agent 1 leaves and the agent begins to stop
    And 0.4 s pass on all hosts
    Then agent 1 has told each balancer 3 times in 0.1 s that it has withdrawn
    And it did so before it called the store
    And both balancers leave agent 1 out
    When 6 s pass on all hosts
    Then agent 1 has stopped within its grace time

    Examples:
      | store                          |
      | the store rejects all calls    |
      | the store answers no deletions |

  # Guards against a balancer that subscribes while the agent deletes its record.
  Scenario: An agent that deletes its record tells balancers that ask
    Given a store with a route to rounds, 2 balancers and 2 agents of rounds
    When the store answers no deletions
    And the upstream of agent 1 leaves and the agent begins to stop
    And 0.4 s pass on all hosts
    And balancer 1 asks agent 1 for a report
    Then agent 1 has told balancer 1 4 times that it has withdrawn

  # Guards against fault FLOW (a): balancers that reset open flows while an agent
  # restarts as planned.
  Scenario Outline: An agent that restarts while its upstream lives tells nobody
    Given a store with a route to rounds, 2 balancers and 2 agents of rounds
    When <state> and agent 1 begins to stop
    And 2 s pass on all hosts
    Then agent 1 has told nobody that it has withdrawn

    Examples:
      | state                                     |
      | nothing else happens                      |
      | the upstream of agent 1 drains            |
      | agent 1 was suspended, a heartbeat waits, |

  # Guards against the same if the process is suspended while it waits for its
  # upstream: the heartbeats that it has not read seemed missing.
  Scenario: An agent that is suspended while its upstream drains tells nobody
    Given a store with a route to rounds, 2 balancers and 2 agents of rounds
    When the upstream of agent 1 drains and agent 1 begins to stop
    And agent 1 is suspended for 4 s, in which a heartbeat arrives
    And 0.3 s pass on all hosts
    Then agent 1 has told nobody that it has withdrawn
