Feature: A balancer hedges openings that their upstream leaves unanswered

  # Guards against callers that wait 200 ms, until they retransmit, because an
  # opening was lost or its upstream does not answer.
  Scenario: An opening without an answer goes to a second upstream
    Given a balancer with agents a, b, c that hedges up to 10 percent
    When a caller opens a flow to rounds
    And 0.029 s pass
    Then the opening is not hedged
    When 0.002 s pass
    Then the opening is hedged after 31 ms
    And no agent is avoided

  # Guards against a second hedge of a flow: each one is extra work.
  Scenario: A flow is hedged once
    Given a balancer with agents a, b, c that hedges up to 100 percent
    When a caller opens a flow to rounds
    And 0.031 s pass
    Then the opening is hedged after 31 ms
    When 0.1 s pass
    Then the opening is not hedged

  # Guards against extra work for flows that need none.
  Scenario: A caller that continues in time needs no hedge
    Given a balancer with agents a, b, c that hedges up to 100 percent
    When a caller opens a flow to rounds
    And 0.02 s pass
    And the caller sends 1 segments
    Then the balancer measures 20 ms until the opening is acknowledged
    And no hedge is scheduled
    When 0.1 s pass
    Then the opening is not hedged

  # Guards against the hedge of an opening that two upstreams have already.
  Scenario: An opening that its caller retransmitted is not hedged
    Given a balancer with agents a, b, c that hedges up to 100 percent
    When a caller opens a flow to rounds
    And the caller retransmits its opening after 0.2 s
    Then two different agents were offered the flow
    When 0.1 s pass
    Then the opening is not hedged

  # Guards against an upstream that counts as unanswering although it got the
  # opening a moment ago, and against one that did not answer for 200 ms.
  Scenario: A retransmission after a hedge avoids the first upstream only
    Given a balancer with agents a, b, c that hedges up to 100 percent
    When a caller opens a flow to rounds
    And 0.04 s pass
    Then the opening is hedged after 40 ms
    When the caller retransmits its opening after 0.16 s
    Then three different agents were offered the flow
    And only the agent that was offered the flow first is avoided

  # Guards against hedges for routes whose requests must not run twice.
  Scenario: An opening of a route that is not repeatable is not hedged
    Given a balancer with agents a, b, c and a route that is not repeatable
    When a caller opens a flow to rounds
    And 0.1 s pass
    Then the opening is not hedged

  # Guards against a change for deployments that did not enable hedging.
  Scenario: Nothing is hedged while hedging is off
    Given a balancer with agents a, b, c that hedges up to 0 percent
    When a caller opens a flow to rounds
    Then no hedge is scheduled
    When 0.1 s pass
    Then the opening is not hedged

  # Guards against extra load on upstreams that are full.
  Scenario Outline: A hedge needs another upstream with a free slot
    Given a balancer with agents a, b, c that hedges up to 100 percent
    When a caller opens a flow to rounds
    And all agents report <load> requests in progress in their 2 slots
    And 0.031 s pass
    Then the opening is <outcome>

    Examples:
      | load | outcome            |
      | 1.5  | hedged after 31 ms |
      | 1.6  | not hedged         |
      | 2.0  | not hedged         |

  # Guards against a hedge that takes the slot for which another flow waits.
  Scenario: No opening is hedged while openings are queued
    Given a balancer with agents a, b, c that hedges up to 100 percent
    When a caller opens a flow to rounds
    And another opening that all agents declined is queued
    And the hedges of the next 0.031 s are sent
    Then the opening is not hedged

  # Guards against an offer beyond the limit, and against a flow that no upstream
  # has any more.
  Scenario Outline: A decline by one of two agents leaves the other one
    Given a balancer with agents a, b, c that hedges up to 100 percent
    When a caller opens a flow to rounds
    And 0.031 s pass
    Then the opening is hedged after 31 ms
    When the agent that got the opening <declining> declines it
    Then no agent is offered the flow and the caller gets no reset
    When the caller sends 1 segments
    Then only the agent that got the opening <remaining> gets them

    Examples:
      | declining | remaining |
      | first     | second    |
      | second    | first     |

  # Guards against a flow that waits for its caller although both declined it.
  Scenario: A hedged opening that both agents decline goes to a third one
    Given a balancer with agents a, b, c that hedges up to 100 percent
    When a caller opens a flow to rounds
    And 0.031 s pass
    Then the opening is hedged after 31 ms
    When the agent that got the opening second declines it
    And the agent that got the opening first declines it
    Then another agent of rounds is offered the flow

  # Guards against extra work beyond the limit that the operator set, on a day
  # when no upstream answers an opening in time.
  Scenario Outline: Hedges stay within their share of the openings
    Given a balancer with 40 agents that hedges up to <percent> percent
    When openings arrive as on a day, and no caller continues in time
    Then at every moment there were at most <percent> percent + 10 hedges
    And the balancer reports that the limit was reached

    Examples:
      | percent |
      | 1       |
      | 10      |
      | 35      |

  # Guards against limits that are exceeded by a sequence of openings and hedges.
  Scenario: The token bucket holds at most 10 tokens and never less than none
    Then any use of a token bucket stays within its bounds

  # Guards against hedges of nearly all openings where answers take long, and
  # against late hedges where they are fast.
  Scenario Outline: The delay follows the mean time until callers continue
    Given a balancer with agents a, b, c that hedges up to 100 percent
    When 200 callers continue <ms> ms after their openings
    And a caller opens a flow to rounds
    And <early> s pass
    Then the opening is not hedged
    When 0.003 s pass
    Then the opening is hedged

    Examples:
      | ms | early |
      | 1  | 0.028 |
      | 7  | 0.028 |
      | 10 | 0.039 |
      | 40 | 0.159 |

  # Guards against a request that runs twice, and against a slot that stays
  # reserved for a request that goes to the other upstream.
  Scenario Outline: The caller continues with either upstream of a hedge
    Given agents a, b, c with upstreams and a balancer that hedges
    When a caller opens a flow, which is hedged
    And the upstreams answer, and the caller continues with the <chosen> one
    Then only that upstream gets the request, and once
    And the other agent denies the flow and reserves no slot for it
    And later packets go to that upstream alone

    Examples:
      | chosen |
      | first  |
      | second |

  # Guards against fault FLOW (a): the claim of the first upstream was lost, and
  # the balancer gave the flow up as the second one denied it.
  Scenario: A packet after a hedge finds the first upstream
    Given a balancer with agents a, b, c that hedges up to 100 percent
    When a caller opens a flow to rounds
    And 0.031 s pass
    Then the opening is hedged after 31 ms
    When the caller sends 1 segments
    Then both upstreams of the hedge are probed
    When the agent that got the opening second denies the flow
    And 0.1 s pass with reports of all agents
    And the third agent denies the flow
    And 0.1 s pass with reports of all agents
    And the agent that got the opening first replies that it holds the flow
    And the caller sends 3 segments
    Then only the agent that got the opening first gets them
    And no segment was a reset

  # Guards against callers that wait for their retransmission, 200 ms, while a
  # host that died silently still counts as alive.
  Scenario: Flows offered to a dead host reach a live one after the hedge delay
    When one of 8 hosts dies silently at 160 openings per second, without hedging
    Then flows offered to it reach a live host after 200 ms
    When one of 8 hosts dies silently at 160 openings per second, with hedging
    Then flows offered to it reach a live host within the hedge delay

  # Guards against hedges that wait for the next run of the 50 ms timer.
  Scenario: The daemon sends hedges at their time
    Given daemons with hedging, on a store with a route that is repeatable
    When 4 flows are opened at different times and no upstream answers
    Then the other upstream gets each opening after 30 to 35 ms

  # Guards against a daemon that starts with a limit that was not meant.
  Scenario Outline: The environment sets the limit
    Given a settings file of a balancer
    When the balancer starts with CROCUSMUX_HEDGE_SHARE <value>
    Then its hedge share is <share>

    Examples:
      | value  | share |
      | absent | 0     |
      | 0      | 0     |
      | 0.05   | 0.05  |
      | 1      | 1     |
      | 1.0    | 1     |

  # Guards against a daemon that runs with another limit than its operator set.
  Scenario Outline: A value that is not a number from 0 to 1 ends the process
    Given a settings file of a balancer
    When the balancer starts with CROCUSMUX_HEDGE_SHARE <value>
    Then it ends with status 1 and one error that names the variable

    Examples:
      | value |
      | nan   |
      | inf   |
      | -inf  |
      | -0.1  |
      | 1.01  |
      | 5%    |
      | 0_1   |
      | 0,1   |
      | empty |
      | much  |
