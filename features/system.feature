Feature: Whole daemons survive failures on real sockets

  Each scenario runs three agents, some balancers and the test server of the
  object API in one event loop with a simulated clock.

  # Guards against unbounded buffers for a slow reader.
  Scenario: A caller that never reads slows down its upstream
    Given a system with 2 balancers
    When a caller asks for 200000000 bytes and never reads
    Then the upstream stops sending and all buffers stay within their limits
    And a feed and 5 bookings continue

  # Guards against lost bytes, and a half-close that closes both directions.
  Scenario: Half-close and large responses are forwarded
    Given a system with 2 balancers
    Then a caller that closes its sending side gets a response
    And an upstream that closes its sending side reads to the end
    And a response of 8000000 bytes arrives complete

  # Guards against an aborted transfer that looks complete.
  Scenario Outline: A reset is forwarded
    Given a system with 2 balancers
    When <who> resets an open flow
    Then <other> sees a reset

    Examples:
      | who          | other        |
      | the caller   | the upstream |
      | the upstream | the caller   |
      | the agent    | the caller   |

  # Guards against a flood of connections that displaces open flows.
  Scenario: Connections past the limit are refused
    Given a system with 2 balancers and at most 4 connections each
    When 4 feeds are open and 6 more connections come to one balancer
    Then the 6 read the refusal reply and are counted
    And the 4 feeds continue

  # Guards against input that stops a daemon or is accepted as a peer's.
  Scenario: Bad input is counted and open flows continue
    Given a system with 2 balancers
    When a feed runs and bad datagrams and relay connections arrive
    Then each is counted and the feed continues

  # Guards against lost or repeated bookings while an upstream is down.
  Scenario: An upstream that refuses connections is avoided
    Given a system with 2 balancers
    When an upstream refuses connections
    Then 20 bookings are answered and each ran exactly once

  # Guards against flow state that is lost with one balancer.
  Scenario: A balancer dies
    Given a system with 3 balancers
    When a balancer is killed under UDP, library and TCP feeds
    Then only the TCP feeds of that balancer break

  # Guards against planned stops that cut requests or never end.
  Scenario: A balancer stops gracefully
    Given a system with 2 balancers and a drain time of 5 s
    When a balancer with an open request and a feed stops
    Then the request is answered
    And the feed is cut at the deadline, counted and logged

  # Guards against new requests at a leaving agent, and cut requests.
  Scenario Outline: An agent stops gracefully
    Given a system with 2 balancers
    When an agent with open requests stops with the object API <state>
    Then its requests are answered and it gets no new requests after 2 s

    Examples:
      | state |
      | up    |
      | down  |

  # Guards against hash slots without an owner until the object API is back.
  Scenario: An agent dies while the object API is down
    Given a system with 2 balancers
    When the object API is down and an agent is killed
    Then 12 feeds and 12 UDP flows of its slots run within 3 s
    And 12 bookings are served within 5 s and none ran twice

  # Guards against a takeover without a witness: in a term that began before
  # the last members joined, the dead agent may be the only one.
  Scenario: One of the first two agents dies while the object API is down
    Given a system with 2 balancers
    When the object API is down and the first agent is killed
    Then 12 bookings are served within 5 s and none ran twice

  # Guards against refused UDP flows: the owner placed them at the dead agent
  # before that was suspected.
  Scenario: UDP flows are placed at an agent that has just died
    Given a system with 2 balancers
    When the object API is down and an agent is killed
    Then 12 UDP flows of the other slots run within 3 s

  # Guards against a takeover that never ends: the replies of its witnesses came
  # while the members were younger than the retransmit window.
  Scenario: An agent dies soon after the start
    Given a system with 2 balancers
    When the object API is down and an agent is killed 10 s after the start
    Then 12 bookings are served within 60 s and none ran twice
    And all hash slots taken over have complete state 60 s later

  # Guards against a drain that waits for callers that already know the outcome.
  Scenario: An agent at its drain deadline tells library callers the outcome
    Given a system with 2 balancers and a drain time of 3 s
    When an agent with a library feed stops
    Then the caller learns that the outcome is unknown
    And the stop takes at most 9 s

  # Guards against a false "not run" of a flow that a holder may have.
  Scenario Outline: A balancer alone does not refuse a library flow
    Given a system with 2 balancers
    When a library flow is opened at a balancer <that>
    Then the library is told to try another balancer, not of a refusal

    Examples:
      | that                      |
      | that is draining          |
      | without the service       |
      | that reaches no agent     |

  # Guards against an agent that ignores the incarnation it announced.
  Scenario: A live agent that was removed uses its new incarnation
    Given a system with 2 balancers
    When the control part of an agent reports a new incarnation
    Then the agent uses that incarnation and gets bookings

  # Guards against daemons that need the object API to keep serving.
  Scenario: The object API is down for an hour
    Given a system with 2 balancers
    When the object API is down for 3600 s under a feed
    Then the feed and 5 bookings continue
    And a new balancer gets its configuration from its peers
    And a new balancer without peers serves nothing and reports the reason

  # Guards against a preset that reverts, and lost updates.
  Scenario: A preset is switched while bookings run
    Given a system with 3 balancers
    When the preset is switched while 20 bookings run
    Then it is in force on all daemons and does not revert
    And of two concurrent writes by operators one succeeds
