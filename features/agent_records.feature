Feature: The records of agents that live stay in the store

  # Guards against fault FLOW (a): a balancer dropped an agent that still reported
  # when its record was deleted, and all flows of that agent were reset.
  Scenario: A balancer keeps an agent that reports although its record is gone
    Given a balancer that knows agent x by its record at revision 10
    When the record of agent x is gone at revision 12
    Then the balancer tells agent x that its record was lost at revision 12
    And agent x gets new flows
    When 0.75 s pass without a report of agent x
    Then the balancer knows agent x
    When 0.5 s pass without a report of agent x
    Then the balancer does not know agent x

  # Guards against fault FLOW (a): the deleted record was that of another run of the
  # agent, and the one that reports is silent while it restarts.
  Scenario: A balancer keeps an agent whose record of another run is gone
    Given a balancer that knows agent x by its record at revision 10
    When a former run of agent x, of rounds, is listed at revision 12
    And the record of agent x is gone at revision 13
    Then the balancer tells agent x that its record was lost at revision 13
    When 3 s pass without a report of agent x
    Then the balancer knows agent x
    When 2 s pass without a report of agent x
    Then the balancer does not know agent x

  # Guards against a loss that is told once, by a datagram that got lost, and
  # against one that is told for ever.
  Scenario: A lost record is told until it has been written again
    Given a balancer that knows agent x by its record at revision 10
    When the record of agent x is gone at revision 12
    Then in the next 5 s agent x is told 2 times or more that it was lost at 12
    When agent x is listed at revision 14
    Then in the next 5 s agent x is told 2 times or more that it was lost at 0

  # Guards against a loss that is told late in a large fleet, whose agents get a
  # subscription every 20 s.
  Scenario: A lost record is told soon in a large fleet
    Given a balancer that knows agent x by its record at revision 10, and 200 others
    When the record of agent x is gone at revision 12
    Then in the next 5 s agent x is told 2 times or more that it was lost at 12

  # Guards against a watch that may be stale: its reply was older than the list
  # that told of the new record.
  Scenario: A deletion before the known record changes nothing
    Given a balancer that knows agent x by its record at revision 10
    When the record of agent x is gone at revision 9
    Then the balancer tells agent x nothing

  # Guards against a list requested before the deletion that hides the loss.
  Scenario: A list that is older than the deletion does not end the loss
    Given a balancer that knows agent x by its record at revision 10
    When the record of agent x is gone at revision 12
    And agent x is listed at revision 10
    Then in the next 5 s agent x is told 2 times or more that it was lost at 12

  # Guards against a table that grows by agents that never lived.
  Scenario: An agent that never reported is dropped with its record
    Given a balancer that has no report of agent x, with its record at revision 10
    When the record of agent x is gone at revision 12
    Then the balancer does not know agent x

  # Guards against fault FLOW (a): the address of an upstream was given to another
  # host, and a late write of the former host's record displaced the new one.
  Scenario Outline: A record that is written again is as old as before
    Given a balancer with the agents a, b, c of rounds and d of wheelbook
    When the store lists at one address x at revision 20 and y, <first>
    Then of these two only <known> is known

    Examples:
      | first                                               | known |
      | announced at 15 and written again at 30, after x    | x     |
      | announced at 15 and written again at 30, before x   | x     |
      | announced at 25 and written again at 30, after x    | y     |
      | announced at 25 and written again at 30, before x   | y     |

  # Guards against an agent that is found by no new balancer, and against calls to
  # the store in normal operation.
  Scenario: The records of living agents are written again within 10 s
    Given a store with a route to rounds, 2 balancers and 2 agents of rounds
    When 30 s pass with heartbeats of upstreams 1 and 2
    Then the agents have written to the store 2 times
    When a caller opens a flow through balancer 1
    Then the caller gets a SYN+ACK
    When the caller acknowledges it through balancer 1
    And the records of agents 1 and 2 are deleted
    And 10 s pass with heartbeats of upstreams 1 and 2
    Then the store lists 2 agents
    And the agents have written to the store 4 times
    And no balancer has dropped an agent
    When the caller sends a request through balancer 2
    Then the upstream that answered gets it once and the other one nothing
    And the caller gets the answer

  # Guards against a call for each message of a balancer whose view of the store is
  # some seconds old, and against more than two calls in 2 s because of a wrong one.
  Scenario Outline: An agent writes its record again only after a later loss
    Given a store with a route to rounds, 2 balancers and 2 agents of rounds
    When a balancer tells agent 1 for 10 s that its record was lost at revision <revision>
    Then agent 1 has written to the store <least> to <most> times since its start

    Examples:
      | revision | least | most |
      | 11       | 0     | 0    |
      | 999999   | 1     | 12   |

  # Guards against a record that is lost because the store was silent.
  Scenario: A record is written again once the store answers
    Given a store with a route to rounds, 2 balancers and 2 agents of rounds
    When the records of agents 1 and 2 are deleted
    And 2.5 s pass with heartbeats of upstreams 1 and 2
    And the store answers all calls with 503
    And the records of agents 1 and 2 are deleted
    And 20 s pass with heartbeats of upstreams 1 and 2
    And the store answers all calls with 0
    And 10 s pass with heartbeats of upstreams 1 and 2
    Then the store lists 2 agents

  # Guards against a record of a host whose upstream is gone, and whose address
  # may have been given to another one.
  Scenario: The record of an agent whose upstream is dead is not written again
    Given a store with a route to rounds, 2 balancers and 2 agents of rounds
    When 4 s pass with heartbeats of upstreams 2
    And the records of agents 1 and 2 are deleted
    And 20 s pass with heartbeats of upstreams 2
    Then the store lists 1 agents

  # Guards against an agent that nobody finds: all balancers had dropped it with
  # its record while it was partitioned, so none told it.
  Scenario: An agent without subscriptions writes its record again
    Given a store with a route to rounds, 2 balancers and 2 agents of rounds
    When balancers 1 and 2 are killed
    And the records of agents 1 and 2 are deleted
    And 20 s pass with heartbeats of upstreams 1 and 2
    Then the store lists 2 agents

  # Guards against an agent that is unknown to balancers which start later, or that
  # gets no flows: the store applied a write of its former run after its own.
  Scenario Outline: A balancer tells an agent that its record was overwritten
    Given a balancer that knows agent x by its record at revision 10
    When a former run of agent x, of <service>, is listed at revision 12
    Then in the next 5 s agent x is told 2 times or more that it was lost at 12
    When agent x is listed at revision 14
    Then in the next 5 s agent x is told 2 times or more that it was lost at 0
    And agent x gets new flows

    Examples:
      | service   |
      | rounds    |
      | wheelbook |

  # Guards against a record of a former run that stays in the store.
  Scenario: A record that a late write has overwritten is written again
    Given a store with a route to rounds, 2 balancers and 2 agents of rounds
    When the agent of host 1 is replaced by a new one
    And 1 s pass with heartbeats of upstreams 1 and 2
    And a write of the former agent of host 1 is applied late
    And 10 s pass with heartbeats of upstreams 1 and 2
    Then the record of host 1 is of the running agent

  # Guards against calls to the store at each restart of an agent: balancers hear
  # of the new incarnation before they see its record.
  Scenario: A restarted agent writes its record once
    Given a store with a route to rounds, 2 balancers and 2 agents of rounds
    When the agent of host 1 is replaced by a new one
    And 30 s pass with heartbeats of upstreams 1 and 2
    Then the agents have written to the store 3 times

  # Guards against fault FLOW (a): the store applied the first write of a host after
  # its address had been given to another one.  The balancer dropped the host that
  # had the address, and reset its flows.
  Scenario Outline: A late record does not displace the host that has the address
    Given a balancer with the agents a, b, c of rounds and d of wheelbook
    When the store lists at one address x of rounds at revision 20 and y of wheelbook at revision <revision>
    And agent x reports, <form>
    Then of these two only x is known
    And agent x gets new flows
    When the store lists at one address x of rounds at revision 20 and y of wheelbook at revision <revision>
    Then of these two only x is known

    Examples:
      | revision | form    |
      | 30       | full    |
      | 30       | compact |
      | 10       | full    |

  # Guards against reports of a former host, delayed or repeated, that displace the
  # host which has the address now.
  Scenario: A late report does not displace the host that has the address
    Given a balancer with the agents a, b, c of rounds and d of wheelbook
    When the store lists at one address x of rounds at revision 20 and y of wheelbook at revision 30
    And agent y reports, full
    And agent x reports, full
    Then of these two only y is known
    When 2 s pass without a report of agent x
    And agent x reports, full
    And 2 s pass without a report of agent x
    And agent y reports, full
    Then of these two only y is known

  # Guards against a host that returns from memory after its record was deleted.
  Scenario: A displaced agent is forgotten with its record
    Given a balancer with the agents a, b, c of rounds and d of wheelbook
    When the store lists at one address x of rounds at revision 20 and y of wheelbook at revision 30
    And the record of agent x is gone at revision 31
    And agent x reports, full
    Then of these two only y is known
