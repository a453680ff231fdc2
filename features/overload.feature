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

  # Guards against a new opening that takes the slot for which a more urgent one
  # is queued, and against an explanation that promises it that slot.
  Scenario: A new opening is queued behind a more urgent one
    Given a balancer with fair queueing and routes to rounds and wheelbook
    When all agents decline an urgent flow to rounds for now
    Then it is explained that a bulk flow waits-behind-others
    And it is explained that an urgent flow to wheelbook is placed
    When the agents have free slots again, and a bulk flow to rounds arrives
    Then the urgent flow is offered to an agent, and the bulk flow is queued
    And it is explained that a bulk flow waits-behind-others

  # Guards against the same by a retransmission: each queued flow has two.
  Scenario: A retransmission does not pass a more urgent queued flow
    Given a balancer with fair queueing and routes to rounds and wheelbook
    When all agents decline a bulk flow to rounds for now
    And all agents decline an urgent flow to rounds for now
    And the agents have free slots again, and the bulk flow is retransmitted
    Then the urgent flow is offered to an agent, and the bulk flow is queued

  # Guards against an opening that waits though it goes before all that are queued.
  Scenario: A new opening passes less urgent ones
    Given a balancer with fair queueing and routes to rounds and wheelbook
    When all agents decline a bulk flow to rounds for now
    Then after 0.04 s it is explained that an urgent flow is placed
    When the agents have free slots again, and an urgent flow to rounds arrives
    Then the urgent flow is offered to an agent, and the bulk flow is queued
    And no flow is logged as waiting

  # Guards against callers that wait in a queue for a service that is gone.
  Scenario: A new opening for a service without a live upstream is refused at once
    Given a balancer with fair queueing and routes to rounds and wheelbook
    When all agents decline a bulk flow to rounds for now
    And all agents are lost, and an urgent flow to rounds arrives
    Then it is refused at once

  # Guards against a surge of 2.8 times the capacity with retries, in which urgent
  # requests failed though they are a fifth of all.
  Scenario Outline: Urgent requests meet their goal in a surge
    When requests of 2.8 times the capacity arrive for 3 s, with seed <seed>
    Then at least 95 percent of the urgent ones meet their goal, and all are answered
    And without fair queueing less than 70 percent of them do

    Examples:
      | seed |
      | 1    |
      | 2    |

  # Guards against urgent requests alone above the capacity, of which each caller
  # gets some answers, all of them late: balancers must agree on the callers that
  # go first, and a retry must not take the slot of a caller that goes first.
  Scenario: All balancers put the same callers first, and their retries as well
    Given the queues of 3 balancers with one wall clock, started at different times
    When 30 callers open flows of one urgency at random balancers, and retry at others
    Then at each balancer, the flows of the same callers go first, then the others

  # Guards against a caller that is last for as long as the overload lasts, and
  # against a request that changes its place with each attempt.
  Scenario: The order of callers lasts for a period of 16 s
    Given the queues of 3 balancers with one wall clock, started at different times
    Then a caller is in the same group throughout a period of 16 s
    And in each of 20 periods, 5 to 25 of 30 callers go first
    And each of 30 callers goes first in 3 to 17 of 20 periods

  # Guards against an order by callers among flows that are late, which would give
  # up those that are about to be refused.
  Scenario: Flows that missed their goal go last, by urgency and age
    Given the queues of 3 balancers with one wall clock, started at different times
    When 30 callers open flows of one urgency at random balancers, and retry at others
    And 0.4 s pass, and a caller opens a flow
    Then that flow goes first, and the others in the order of their openings

  # Guards against urgent requests alone above the capacity, of which more than
  # half are answered late or never.
  Scenario Outline: More of the urgent requests meet their goal if there are too many
    When urgent requests of 1.6 times the capacity arrive for 5 s, with seed <seed>
    Then at least 1.2 times as many meet their goal as without fair queueing

    Examples:
      | seed |
      | 1    |
      | 2    |

  # Guards against one heavy caller among many light ones that takes all slots for
  # a period because it goes first.
  Scenario: The second opening of a caller goes after the first of all others
    Given the queues of 1 balancers with one wall clock, started at different times
    When a caller opens 5 flows, and 20 others open one each
    Then the first 21 flows are of different callers, and its other 4 go last
    And they keep their places when they are offered and declined
    And flows of another urgency do not count

  Scenario Outline: A heavy caller leaves the others their share
    When one caller sends 1.2 times the capacity for 3 s beside many, with seed <seed>
    Then at least 85 percent of the others meet their goal
    And without fair queueing less than 65 percent of them meet it

    Examples:
      | seed |
      | 1    |
      | 2    |

  # Guards against urgent requests alone above the capacity, which left nothing to
  # the others.
  Scenario: Urgent flows leave a fifth of the offers to others
    Given the queues of 1 balancers with one wall clock, started at different times
    When 100 urgent flows of callers that go first and 30 bulk ones of such are queued
    Then of the flows that are offered, at least every fifth is chosen without regard to urgency
    And flows that no upstream takes do not count as offered

  Scenario Outline: Bulk requests get a share beside too many urgent ones
    When urgent requests of 1.6 times the capacity arrive for 5 s, with seed <seed>
    Then at least 15 percent of the bulk ones meet their goal

    Examples:
      | seed |
      | 1    |
      | 2    |

  # Guards against an explanation that does not know of that share.
  Scenario: The explanation tells when a bulk flow goes first
    Given a balancer with fair queueing and routes to rounds and wheelbook
    When all agents decline an urgent flow of a caller that goes last for now
    And 4 flows were offered from the queue
    Then the explanation of a bulk flow agrees with its opening

  # Guards against refusals of which nobody can tell whether the queue was long.
  Scenario: The log of a refusal tells the length of the queue and the wait
    Given a balancer with fair queueing and routes to rounds and wheelbook
    When all agents decline an urgent flow to rounds for now
    And no agent takes new flows
    And 1 s later 3 more callers open flows to rounds
    And 0.31 s pass
    Then the refusal is logged with 3 queued flows and a wait of 1310 ms

  # Guards against queued callers that are refused because the queue is full: they
  # try again at once, and use up their attempts within milliseconds.
  Scenario: A queued flow is not refused while the queue is full
    Given a balancer with fair queueing and routes to rounds and wheelbook
    And the queue of a service takes 2 flows
    When all agents decline an urgent flow to rounds for now
    And all agents decline a bulk flow to rounds for now
    And no agent takes new flows
    And 0.05 s pass
    Then all these flows are queued

  # Guards against a refusal that the caller no longer hears: a balancer that got
  # the second retransmission of an opening first, as after a re-hash, waited 1.3 s
  # from there, and the caller gave up after 0.8 s.
  Scenario Outline: A retransmission that arrives first is refused in time
    Given a balancer with fair queueing and routes to rounds and wheelbook
    When no agent takes new flows
    And retransmission <number> of an opening is the first packet of its flow
    Then the flow is refused between <earliest> and <latest> s later

    Examples:
      | number | earliest | latest |
      | 0      | 1.25     | 1.38   |
      | 1      | 1.05     | 1.18   |
      | 2      | 0.65     | 0.78   |
