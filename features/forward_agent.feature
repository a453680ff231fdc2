Feature: A forwarding agent delivers, claims, denies and declines flows

  # Guards against openings that are not delivered.
  Scenario: A new flow is delivered
    Given an agent of rounds whose upstream is ready
    When a balancer sends an opening
    Then the upstream gets it

  # Guards against fault DRAIN: a balancer that has not yet heard of the drain
  # gives new flows to a draining upstream.
  Scenario: After a heartbeat that says draining new flows are declined
    Given an agent of rounds whose upstream is ready
    When the upstream reports that it drains
    And a balancer sends an opening
    Then the opening is declined as "leaving"

  # Guards against new flows to a draining upstream from the ports of former ones,
  # which the agent still knows.
  Scenario Outline: An opening from the port of a former flow is a new flow
    Given an agent of rounds whose upstream is ready
    And an open flow
    When <event>
    And the upstream reports that it drains
    And the caller opens another flow from that port
    Then the opening is declined as "leaving"

    Examples:
      | event                                         |
      | the upstream closes the flow                  |
      | nothing closes the flow                       |
      | the agent restarts and learns that it is over |

  # Guards against a late copy of an opening that is declined, so that another
  # upstream gets it too.
  Scenario Outline: A late copy of a flow's opening is passed on
    Given an agent of rounds whose upstream is ready
    And an open flow
    When <event>
    And the upstream reports that it drains
    And a late copy of the flow's opening arrives
    Then the upstream gets it

    Examples:
      | event                               |
      | the upstream closes the flow        |
      | nothing closes the flow             |
      | the agent restarts and finds it open |

  # Guards against an upstream that gets no flow for the rest of its life: a call
  # of its former boot, which had the same id, arrived after its restart.
  Scenario: A deregistration that arrives late stops new flows for a short time
    Given an agent of rounds whose upstream is ready
    When a deregistration with the id of the upstream arrives
    And a balancer sends an opening
    Then the opening is declined as "leaving"
    When 4 s pass with heartbeats of the upstream
    Then the balancers have been told that the upstream accepts flows
    When a balancer sends an opening
    Then the upstream gets it

  # Guards against new flows at a draining upstream whose agent restarted.
  Scenario: An agent that knows no heartbeat declines new flows
    Given an agent of rounds without a heartbeat
    When a balancer sends an opening
    Then the opening is declined as "no-heartbeat-yet"

  # Guards against fault ROUTE: another service now uses the address.
  Scenario: A flow for another service is declined
    Given an agent of rounds whose upstream is ready
    When a balancer sends an opening for wheelbook
    Then the opening is declined as "other-service"

  # Guards against faults UNASKED and FLOW (b): segments of foreign flows.
  Scenario: A segment that answers another upstream's SYN+ACK is not delivered
    Given an agent of rounds whose upstream is ready
    When a balancer sends an opening
    And the upstream answers the opening with sequence 5000
    And the caller acknowledges 900000
    Then the upstream does not get it
    And the balancer gets a denial of the flow

  # Guards against a flow that two upstreams answered and neither gets.
  Scenario: A segment that answers this upstream's SYN+ACK opens the flow
    Given an agent of rounds whose upstream is ready
    When a balancer sends an opening
    And the upstream answers the opening with sequence 5000
    And the caller acknowledges 5001
    Then the upstream gets it

  # Guards against flows lost by a restart of the agent.
  Scenario: A restarted agent probes its upstream for an unknown flow
    Given an agent of rounds without a heartbeat
    When a balancer probes for a flow that the agent does not know
    Then the upstream gets it
    When the upstream sends data on that flow
    Then the balancer gets a claim of the flow

  # Guards against callers that wait although a BOUNCED packet is a denial.
  Scenario: A probed segment that the upstream returns is denied
    Given an agent of rounds without a heartbeat
    When a balancer probes for a flow that the agent does not know
    And the upstream returns the segment
    Then the balancer gets a denial of the flow

  # Guards against callers that wait after their upstream restarted.
  Scenario: An open flow that the upstream returns is reset
    Given an agent of rounds whose upstream is ready
    And an open flow
    When the caller sends data and the upstream returns it
    Then the caller gets a reset near its acknowledgement 5001

  # Guards against a reset after a late acknowledgement of an ended flow.
  Scenario: A flow that the upstream closed is not reset
    Given an agent of rounds whose upstream is ready
    And an open flow
    When the upstream closes the flow
    And the caller sends data and the upstream returns it
    Then the agent sends no reset

  # Guards against a refusal while another upstream has free slots.
  Scenario: An opening that the upstream returns is declined
    Given an agent of rounds whose upstream is ready
    When a balancer sends an opening
    And the upstream returns the opening
    Then the opening is declined as "upstream-full"

  # Guards against declines by an upstream with free slots: an agent kept the slot
  # of a flow that its caller had continued with another upstream, or that its
  # upstream had reset, for 100 ms.
  Scenario Outline: A flow that is denied or declined reserves no slot
    Given an agent of rounds whose upstream is ready
    When a balancer sends an opening
    And the upstream answers the opening with sequence 5000
    Then the agent reserves 1 slots for requests about to arrive
    When <end>
    Then <outcome>
    And the agent reserves 0 slots for requests about to arrive

    Examples:
      | end                            | outcome                                    |
      | the caller acknowledges 900000 | the balancer gets a denial of the flow     |
      | the upstream resets that flow  | the opening is declined as "upstream-full" |

  # Guards against new flows at an upstream that crashed.
  Scenario: An upstream that leaves an opening unanswered is silent
    Given an agent of rounds whose upstream is ready
    When a balancer sends an opening
    And 0.15 s pass at the agent
    Then the opening is declined as "upstream-silent"
    And the agent reports that it takes no flows

  # Guards against data at an upstream whose SYN+ACK the caller did not accept: it
  # has the opening although its agent has declined it (found by spec/hedging.lp,
  # "denies_silent").
  Scenario: An agent denies a flow that it declined because of silence
    Given an agent of rounds whose upstream is ready
    When a balancer sends an opening
    And 0.15 s pass at the agent
    Then the opening is declined as "upstream-silent"
    When a balancer sends data of that flow without a probe
    Then the upstream does not get it
    And the balancer gets a denial of the flow

  # Guards against the same if the opening is delayed until after such data
  # ("declines_late_syn"), and against an opening that no rule for new flows can
  # decline.
  Scenario: An opening that arrives after data of its flow is declined
    Given an agent of rounds whose upstream is ready
    When a balancer sends data of that flow without a probe
    And a balancer sends an opening
    Then the upstream does not get it
    And the opening is declined as "late-opening"

  # Guards against an upstream that counts as silent for good.
  Scenario: Any packet of the upstream ends its silence
    Given an agent of rounds whose upstream is ready
    When a balancer sends an opening
    And 0.15 s pass at the agent
    And the upstream answers the opening with sequence 5000
    Then the agent reports that it takes flows

  # Guards against callers of open flows that wait for a dead upstream.
  Scenario: The open flows of a dead upstream are reset
    Given an agent of rounds whose upstream is ready
    And an open flow
    When a balancer sends an opening
    And 1.6 s pass at the agent
    Then the caller of the open flow gets a reset

  # Guards against a reset of flows whose upstream only missed heartbeats.
  Scenario: Missed heartbeats alone reset nothing
    Given an agent of rounds whose upstream is ready
    And an open flow
    When 6 s pass at the agent
    Then the agent sends no reset
    And the agent reports that it takes no flows

  # Guards against a queue at the upstream that outlasts its callers' timeouts.
  Scenario: New flows are declined while too many requests wait
    Given an agent of rounds whose upstream is ready
    When 10 flows with a request each are open
    And a balancer sends an opening
    Then the opening is declined as "overload"

  # Guards against a count of requests that only grows.
  Scenario: Answered requests are no longer counted
    Given an agent of rounds whose upstream is ready
    When 10 flows with a request each are open
    And all their requests are answered after 40 ms
    Then no request is in progress
    And the mean service time is between 39 and 41 ms

  # Guards against answers that are not sampled and count as failures: an
  # upstream's close overtakes the data before it (karigar-haat-grown, where each
  # request has a flow of its own).
  Scenario: A close that arrives before the answer's data counts as the answer
    Given an agent of rounds whose upstream is ready
    When 10 flows with a request each are open
    And the closes of all their answers arrive after 40 ms, before the data
    Then no request is in progress
    And the mean service time is between 39 and 41 ms

  # Guards against healthy upstreams that are logged and avoided as outliers.
  Scenario: Closes that arrive before the answers' data are no failures
    Given an agent of rounds with outlier detection whose upstream is ready
    When 2 flows with a request each are open
    And the closes of all their answers arrive after 40 ms, before the data
    Then the reported service time is 40 ms and no outlier is logged

  # Guards against closes without any answer that count as answers.
  Scenario: A close without data before it is no answer
    Given an agent of rounds whose upstream is ready
    When 10 flows with a request each are open
    And the upstream closes all of them after 40 ms without an answer
    Then no request is in progress
    And the mean service time is unknown

  # Guards against unfinished uploads that count as overload: agents declined
  # 796 offers while 1,513 were made and 12 slots were nearly idle (grown
  # deployment, scale-1, one failure domain, 28 s).
  Scenario: An unfinished upload takes no slot
    Given an agent of rounds whose upstream is ready
    When 10 flows with unfinished uploads are open
    And a balancer sends an opening
    Then the upstream gets it
    When the last segments of all uploads arrive
    And a balancer sends another opening
    Then the opening is declined as "overload"

  # Guards against a service time that includes the time of the upload.
  Scenario: The service time of an upload begins with its last segment
    Given an agent of rounds whose upstream is ready
    When 1 flows with unfinished uploads are open
    And 300 ms later the last segments of all uploads arrive
    And all their requests are answered after 5 ms
    Then the service time is 5 ms

  # Guards against requests that count as in progress for 10 s after all agents
  # restarted, so that new flows are declined (shygrind, trouble-3).
  Scenario: A request in a probe is counted once
    Given an agent of rounds that first heard its upstream at sequence 7
    When a balancer probes for a flow that the agent does not know
    And the upstream sends data on that flow
    And the same request is retransmitted
    Then no request is in progress

  # Guards against a retransmission counted as a new request.
  Scenario: A retransmitted request is counted once
    Given an agent of rounds whose upstream is ready
    When 1 flows with a request each are open
    And all their requests are answered after 40 ms
    And the first request is retransmitted
    Then no request is in progress

  # Guards against reports that exceed a daemon's limit for control traffic,
  # 7 KB a second, in a large fleet.
  Scenario: Reports to many balancers are rate-limited
    Given an agent of rounds whose upstream is ready
    When 100 more balancers subscribe for reports every 0.25 s
    And 10 s pass at the agent
    Then its reports took at most 7000 bytes a second of 10 s
    And each balancer got a report at least every 1.3 s

  # Guards against fault FLOW (b): while a flow's agent is down, other upstreams
  # get its packets repeatedly (grown deployment, trouble-1).
  Scenario: An upstream is not probed again for a flow that it returned
    Given an agent of rounds without a heartbeat
    When a balancer probes for a flow that the agent does not know
    And the upstream returns the segment
    And a balancer probes for a flow that the agent does not know
    Then the upstream does not get it
    And the balancer gets a denial of the flow

  # Guards against probes of an upstream whose flows the agent knows completely.
  Scenario: An agent that saw its upstream start denies unknown flows itself
    Given an agent of rounds whose upstream is ready
    When a balancer probes for a flow that the agent does not know
    Then the upstream does not get it
    And the balancer gets a denial of the flow

  # Guards against wrong denials by an agent that restarted.
  Scenario: An agent that started after its upstream probes it
    Given an agent of rounds that first heard its upstream at sequence 30
    When a balancer probes for a flow that the agent does not know
    Then the upstream gets it

  # Guards against fault FLOW (a): an agent that restarted within the first
  # interval of heartbeats, 1.2 s, took the second heartbeat of an upstream that
  # counts from 0 for the first one, and denied the flows opened before.
  Scenario Outline: An agent is certain of unknown flows if it saw the boot start
    Given an agent of rounds that has run for <running> s
    When its upstream, started <age> s ago, first reports with sequence <number>
    And a balancer queries an unknown flow
    Then the reply <outcome>

    Examples:
      | running | age  | number | outcome            |
      | 0.3     | 1.3  | 1      | is uncertain of it |
      | 0       | 0.95 | 1      | is uncertain of it |
      | 0.3     | 1.3  | 0      | denies it          |
      | 0.3     | 0.2  | 1      | denies it          |
      | 0       | 0.8  | 1      | denies it          |
      | 1.6     | 1.3  | 1      | denies it          |
      | 1.6     | 1.3  | 2      | is uncertain of it |
      | 0.3     | 3600 | 1      | denies it          |
      | 0.3     | -5   | 1      | denies it          |

  # Guards against the same if the daemon does not tell the age of the boot.
  Scenario Outline: The agent daemon tells the age of a boot
    When a daemon of an agent hears sequence 1 of an upstream that started <age> s ago
    Then the agent <outcome> unknown flows

    Examples:
      | age | outcome         |
      | 0.1 | denies          |
      | 1.3 | is uncertain of |

  # Guards against fault FLOW (a): a lost datagram makes the upstream seem dead.
  Scenario: An upstream whose heartbeats go on is not dead
    Given an agent of rounds whose upstream is ready
    And an open flow
    When a balancer sends an opening
    And the upstream sends heartbeats while 1.4 s pass at the agent
    Then the agent sends no reset

  # Guards against an upstream that seems silent: it need not answer the
  # duplicate of an opening of an open flow.
  Scenario: A duplicate of the opening of an open flow needs no answer
    Given an agent of rounds whose upstream is ready
    And an open flow
    When the opening of the open flow is retransmitted
    And 0.3 s pass at the agent
    Then the agent reports that it takes flows

  # Guards against faults UNASKED and FLOW: upstreams with close sequences.
  Scenario: An acknowledgement near another upstream's sequence opens nothing
    Given an agent of rounds whose upstream is ready
    When a balancer sends an opening
    And the upstream answers the opening with sequence 5000
    And the caller acknowledges 5002
    Then the upstream does not get it
    And the balancer gets a denial of the flow

  # Guards against fault FLOW (a): the agent forgets a flow because the upstream
  # returns a late duplicate of its opening.
  Scenario: A returned duplicate of the opening does not affect an open flow
    Given an agent of rounds whose upstream is ready
    And an open flow
    When the upstream returns a duplicate of the opening of the open flow
    And a balancer probes for the open flow
    Then the upstream gets it

  # Guards against fault FLOW (a): the caller may have accepted the SYN+ACK of
  # another upstream, which got a duplicate of the opening.
  Scenario: A flow whose first data the upstream returns is denied, not reset
    Given an agent of rounds whose upstream is ready
    When a balancer sends an opening
    And the upstream answers the opening with sequence 5000
    And the caller acknowledges 5001
    And the upstream returns the segment
    Then the agent sends no reset
    And the balancer gets a denial of the flow

  # Guards against fault FLOW (a): an upstream that has just started resets
  # flows for which it is probed (grown shygrind trouble-1, at 29.4 s).
  Scenario: A reset in response to a probe does not reach the caller
    Given an agent of rounds without a heartbeat
    When a balancer probes for a flow that the agent does not know
    And the upstream resets that flow
    Then the caller gets nothing
    And the balancer gets a denial of the flow

  # Guards against an upstream that seems ever more loaded: a request in a probe
  # was counted for ever if the upstream reset the flow.
  Scenario: A request in a probe that the upstream resets is no longer counted
    Given an agent of rounds that first heard its upstream at sequence 7
    When a balancer probes for a flow that the agent does not know
    And the upstream resets that flow
    Then no request is in progress

  # Guards against the same leak where a full table drops its oldest flow.
  Scenario: The request of a flow that a full table drops is no longer counted
    Given an agent of rounds that first heard its upstream at sequence 7
    When a balancer probes for a flow that the agent does not know
    And more probed flows without data than the agent's table holds follow
    Then no request is in progress

  # Guards against an agent that treats another upstream as the one before, and
  # so stays uncertain of flows that the new one cannot hold.
  Scenario: Another upstream with the same start time is a new boot
    Given an agent of rounds that first heard its upstream at sequence 7
    When another upstream with the same start time reports twice
    And a balancer probes for a flow that the agent does not know
    Then the balancer gets a denial of the flow

  # Guards against fault FLOW (a): another agent got a duplicate of the opening.
  Scenario: A reset of a flow that is not open counts as a decline
    Given an agent of rounds whose upstream is ready
    When a balancer sends an opening
    And the upstream resets that flow
    Then the caller gets nothing
    And the opening is declined as "upstream-full"

  # Guards against a holder lookup that waits for an agent without an upstream.
  Scenario: An agent without any heartbeat denies flows after some time
    Given an agent of rounds without a heartbeat
    When 3.5 s pass at the agent
    And a balancer probes for a flow that the agent does not know
    Then the upstream does not get it
    And the balancer gets a denial of the flow

  # Guards against one datagram for each flow after a loss of power.
  Scenario: A query names many flows, and the reply tells about each
    Given an agent of rounds whose upstream is ready
    And an open flow
    When a balancer queries the open flow and an unknown one
    Then the reply claims the open flow and denies the other

  # Guards against a reset of an open flow by an agent that started after it.
  Scenario: An agent that started after its upstream is uncertain of a flow
    Given an agent of rounds that first heard its upstream at sequence 7
    When a balancer queries an unknown flow
    Then the reply is uncertain of it

  # Guards against callers of lost flows that wait until the agent of a removed
  # upstream counts as lost: the agent probed an upstream that never came, and
  # stayed uncertain of the flow.
  Scenario: An agent whose upstream never comes denies a flow that it has probed
    Given an agent of rounds that has run for 0 s
    When a balancer probes for a flow that the agent does not know
    And a balancer queries an unknown flow
    Then the reply is uncertain of it
    When 3.1 s pass at the agent
    And a balancer queries an unknown flow
    Then the reply denies it

  # Guards against fault ROUTE: the address belongs to another service now.
  Scenario: An agent of another service denies all flows of a query
    Given an agent of rounds that first heard its upstream at sequence 7
    When a balancer queries an unknown flow of wheelbook
    Then the reply denies it

  # Guards against a flow that two upstreams answered and the wrong one claims.
  Scenario: A flow is claimed by the upstream whose SYN+ACK the caller accepted
    Given an agent of rounds whose upstream is ready
    When a balancer sends an opening
    And the upstream answers the opening with sequence 5000
    Then a query with acknowledgement 5001 is claimed
    And a query with acknowledgement 900000 is denied

  # Guards against a thundering herd, as after a loss of power: balancers offer
  # flows to an idle upstream at the same moment, and its agent counted requests
  # only once they arrived.  Upstreams with 4 slots had up to 22 requests in
  # progress, and every answer was late (further, trouble-1).
  Scenario: Openings that arrive together are accepted up to the limit
    Given an agent of rounds whose upstream is ready
    When 20 openings arrive within 10 ms
    Then 4 of them are accepted and the others declined as "overload"
    When the requests of 3 accepted flows arrive and are answered
    And 20 openings arrive within 10 ms
    Then 3 of them are accepted and the others declined as "overload"

  # Guards against an upstream that stays idle because callers that were accepted
  # do not send a request.
  Scenario: An accepted flow without a request takes no slot for long
    Given an agent of rounds whose upstream is ready
    When 20 openings arrive within 10 ms
    Then 4 of them are accepted and the others declined as "overload"
    When 0.11 s pass
    And 20 openings arrive within 10 ms
    Then 4 of them are accepted and the others declined as "overload"

  # Guards against live agents that count as dead, and dead ones that get flows:
  # a balancer in a large fleet asks for a report that is overdue.
  Scenario: An agent that is asked to report now does so at once
    Given an agent of rounds whose upstream is ready
    When a subscribed balancer renews its subscription
    Then it gets 0 reports
    When a subscribed balancer asks for a report now
    Then it gets 1 reports

  # Guards against equal shares: balancers that need fresh news got it as rarely
  # as those that do not.
  Scenario: Balancers that ask for reports more often get them more often
    Given an agent of rounds whose upstream is ready
    When 50 balancers subscribe for reports every 0.5 s and 50 for every 4 s
    And 10 s pass at the agent
    Then the former got 3 times as many reports as the latter
    And its reports took at most 7000 bytes a second of 10 s

  # Guards against a cold upstream that gets more than its rate in some second:
  # a fixed window admits twice the rate around its border.
  Scenario: A cold upstream gets at most its rate in any span of one second
    Given an agent whose upstream is cold for 2.5 s at 10 openings a second
    When 20 openings each arrive at 0.9, 1.05, 1.5, 1.95 and 2.1 s
    Then bursts of 10, 0, 0, 10 and 0 are accepted
    And at most 10 are accepted in any span of one second

  # Guards against a limit for each balancer, which many balancers multiply.
  Scenario: The limit of a cold upstream holds for all balancers together
    Given an agent whose upstream is cold for 2 s at 10 openings a second
    When 22 balancers send 5 openings each
    Then 10 of them are accepted in total

  # Guards against a rate below one opening a second that admits none.
  Scenario: A cold upstream gets one opening a second at the least rate
    Given an agent whose upstream is cold for 2 s at 0.3 openings a second
    When 20 openings arrive within 10 ms
    Then 1 of them are accepted and the others declined as "warming-up"

  # Guards against retransmissions that use up the limit, and against flows that
  # were admitted and are then declined.
  Scenario: The retransmitted openings of admitted flows are not counted again
    Given an agent whose upstream is cold for 2 s at 10 openings a second
    When 9 openings arrive within 10 ms
    And the accepted openings are retransmitted 3 times
    Then the upstream gets all of the retransmissions
    When 20 openings arrive within 10 ms
    Then 1 of them are accepted and the others declined as "warming-up"
    When the accepted openings are retransmitted 3 times
    Then the upstream gets all of the retransmissions

  # Guards against openings beyond the limit, from ports of former flows.
  Scenario: Openings from the ports of former flows count as new ones
    Given an agent of rounds whose upstream is ready
    And 20 flows that the upstream has closed
    When 2 s pass at the agent
    And a balancer with version 6 subscribes with the rate 10
    And the same boot reports that it is cold for 2 s
    And their callers open other flows from the same ports
    Then 10 of them are accepted and the others declined as "warming-up"
    When these openings are retransmitted 3 times
    Then the upstream gets all of the retransmissions
    When 20 openings arrive within 10 ms
    Then 0 of them are accepted and the others declined as "warming-up"

  # Guards against a limit that outlasts the warm-up, as the next heartbeat may
  # be late or lost.
  Scenario: The limit ends with the warm-up, without another heartbeat
    Given an agent whose upstream is cold for 1.5 s at 10 openings a second
    When 20 openings each arrive at 1.4 and 1.51 s
    Then bursts of 10 and 20 are accepted

  # Guards against a warm-up that never ends: each heartbeat names the time left.
  Scenario: The newest heartbeat tells how long the warm-up lasts
    Given an agent whose upstream is cold for 2 s at 10 openings a second
    When 20 openings each arrive at 0.1 s
    And the same boot reports that it is cold for 0.2 s
    And 20 openings each arrive at 0.25 and 0.31 s
    Then bursts of 0 and 20 are accepted

  # Guards against a change for services that set no rate.
  Scenario: A cold upstream of a service without a rate has no limit
    Given an agent whose upstream is cold for 2 s at 0 openings a second
    When 20 openings arrive within 10 ms
    Then all of them are accepted

  # Guards against a cold upstream that gets more openings than its rate because
  # it returns some of them.
  Scenario: An opening that a cold upstream returns counts
    Given an agent whose upstream is cold for 2 s at 10 openings a second
    When 10 openings arrive within 10 ms
    And the upstream returns all accepted openings
    And 20 openings arrive within 10 ms
    Then 0 of them are accepted and the others declined as "warming-up"

  # Guards against a limit that the subscription of a balancer with an older
  # configuration, or of an older release, changes or ends.
  Scenario Outline: The rate of the newest configuration version applies
    Given an agent whose upstream is cold for 2 s at 10 openings a second
    When a balancer with version <version> subscribes with the rate <rate>
    And 20 openings arrive within 10 ms
    Then <count> of them are accepted in total

    Examples:
      | version | rate | count |
      | 4       | 3    | 10    |
      | 4       | 0    | 10    |
      | 5       | 0    | 10    |
      | 6       | 3    | 3     |
      | 6       | 0    | 20    |

  # Guards against openings that are forgotten while the upstream stays cold, and
  # against the limit of a boot that is applied to the next one.
  Scenario Outline: Only another boot starts with an empty window
    Given an agent whose upstream is cold for 2 s at 10 openings a second
    When 20 openings arrive within 10 ms
    And <boot> reports that it is cold for 2 s
    And 20 openings arrive within 10 ms
    Then <count> of them are accepted in total

    Examples:
      | boot          | count |
      | the same boot | 0     |
      | another boot  | 10    |

  # Guards against twice the rate around the start of the limit: openings are
  # counted before the upstream is cold, or its rate is known.
  Scenario: Openings just before the limit applies are counted
    Given an agent whose upstream is cold for 0 s at 0 openings a second
    When 8 openings arrive within 10 ms
    And a balancer with version 6 subscribes with the rate 10
    And the same boot reports that it is cold for 2 s
    And 20 openings arrive within 10 ms
    Then 2 of them are accepted in total

  # Guards against twice the rate around a restart of the agent, which does not
  # know what its predecessor admitted.
  Scenario: A restarted agent of a cold upstream admits nothing for one second
    Given a restarted agent whose upstream is cold for 2 s at 10 openings a second
    When 20 openings each arrive at 0.1, 0.9 and 1.1 s
    Then bursts of 0, 0 and 10 are accepted

  # Guards against a cold upstream that gets any number of openings: balancers go
  # on sending to an agent that has restarted before they have subscribed again,
  # and it does not know the rate until then (found by spec/warmup.lp).
  Scenario: A restarted agent of a cold upstream needs the rate to admit openings
    Given a restarted agent without a subscription whose upstream is cold for 3 s
    When 20 openings each arrive at 0.1 and 1.1 s
    Then bursts of 0 and 0 are accepted
    When a balancer with version 5 subscribes with the rate 10
    And 20 openings each arrive at 1.2 s
    Then bursts of 10 are accepted

  # Guards against fault FLOW (a): an agent forgot flows after 20 s and denied
  # them, although the configuration allowed them to be idle for longer.
  Scenario Outline: An idle flow is known for as long as the configuration allows
    Given an agent of rounds whose upstream is ready
    And an open flow
    When a balancer with the idle timeout <idle> s subscribes
    And <seconds> s pass with heartbeats of the upstream
    Then a query for the open flow is <outcome>

    Examples:
      | idle | seconds | outcome |
      | 30   | 29      | claimed |
      | 30   | 40      | denied  |
      | 0    | 19      | claimed |
      | 0    | 25      | denied  |
