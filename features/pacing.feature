Feature: Uploads through a thin link leave room for the requests of others

  # Guards against small requests that wait behind uploads in the link's queue,
  # and against pacing that wastes the link.
  Scenario: Small requests and uploads share a thin link with pacing
    Given a link of 5 Mbit/s with pacing
    When 8 uploads and 50 small requests a second share it for 5 s
    Then no small segment waits 30 ms or longer at the link
    And the uploads get more than 0.75 of the link
    And no segment was dropped

  # Guards against a link model in which pacing would make no difference.
  Scenario: Small requests wait behind uploads without pacing
    Given a link of 5 Mbit/s without pacing
    When 8 uploads and 50 small requests a second share it for 5 s
    Then a small segment waits longer than 200 ms at the link

  # Guards against an upload that its upstream receives out of order: its last,
  # short segment, or its FIN, is no bulk segment by itself.
  Scenario: The end of an upload does not overtake its queued segments
    Given a pacer for 5 Mbit/s whose allowance is used up
    When flow 1 sends 3 full segments, a short one and a FIN
    And flow 2 sends 2 full segments, a short one and a FIN
    Then none of them is sent at once
    And after 1 s the segments of each flow are sent in their order

  # Guards against acknowledgements and other flows that wait behind bulk data.
  Scenario: Segments that are not part of an upload's data pass the queue
    Given a pacer for 5 Mbit/s whose allowance is used up
    When flow 1 sends 3 full segments
    Then an acknowledgement of flow 1 is sent at once
    And a short segment of flow 2 is sent at once

  # Guards against lookups that fail because their probes wait or count as
  # duplicates of each other.
  Scenario: Probes of a flow that is looked up pass the queue
    Given a pacer for 5 Mbit/s whose allowance is used up
    When flow 1 sends 3 full segments
    Then probes of its next segment to two agents are sent at once

  # Guards against a link that carries both copies of a segment that was
  # retransmitted while it waited.
  Scenario: A retransmission of a queued segment is dropped
    Given a pacer for 5 Mbit/s whose allowance is used up
    When flow 1 sends 3 full segments
    And flow 1 sends the same segments again
    Then 3 segments are queued
    And after 1 s the segments of each flow are sent in their order
    And a segment that was sent before is queued when it is retransmitted

  # Guards against a segment that is lost because its flow was found at another
  # agent while it waited.
  Scenario: A retransmission to another agent is no duplicate
    Given a pacer for 5 Mbit/s whose allowance is used up
    When flow 1 sends 3 full segments
    And flow 1 sends the same segments again to another agent
    Then 6 segments are queued

  # Guards against data that follow the reset of their flow, which the upstream
  # returns as unknown, and against a new flow that gets data of a former one.
  Scenario Outline: The queued segments of a flow that has ended are not sent
    Given a pacer for 5 Mbit/s whose allowance is used up
    When flow 1 sends 3 full segments
    And flow 2 sends 2 full segments, a short one and a FIN
    And flow 1 <ends>
    Then 4 segments are queued
    And after 1 s the segments of each flow are sent in their order
    And a short segment of flow 1 is sent at once

    Examples:
      | ends                    |
      | sends a reset           |
      | is opened anew          |
      | is reset by the balancer |

  # Guards against memory that grows with the uploads of callers.
  Scenario: The queue is bounded
    Given a pacer for 5 Mbit/s whose allowance is used up
    When flow 1 sends 600 full segments
    Then 512 segments are queued
    And 88 segments were dropped
    When 10 s pass and the due segments are sent
    And flow 1 sends 1 full segments
    Then 0 segments are queued

  # Guards against pacing, and its cost, on links that need none.
  Scenario Outline: Nothing is queued on a fast or unknown link
    Given a pacer for <mbps> Mbit/s
    When flow 1 sends 2000 full segments
    Then all of them are sent at once
    And the pacer is disabled and reports nothing

    Examples:
      | mbps |
      | 0    |
      | 51   |
      | 1000 |
      | inf  |
      | nan  |
      | -5   |

  # Guards against a link that a pause, or the start, allows to be flooded: the
  # data sent at once must not keep it busy for 20 ms.
  Scenario Outline: The allowance after a pause is bounded
    Given a pacer for <mbps> Mbit/s
    When <pause> s pass and the due segments are sent
    And flow 1 sends 300 full segments
    Then at least 1 segment and less than 20 ms of the link are sent at once

    Examples:
      | mbps | pause |
      | 5    | 0     |
      | 5    | 3600  |
      | 50   | 3600  |

  # Guards against a busy loop, and against segments that are due but wait.
  Scenario: The time until the next segment is due
    Given a pacer for 5 Mbit/s whose allowance is used up
    Then no segment is due
    When flow 1 sends 3 full segments
    Then each is due when the former has taken its part of the link

  # Guards against uploads that are delayed without a sign, and against a log
  # that pacing fills.
  Scenario: Pacing is reported when it begins, once a second, and when it ends
    Given a pacer for 5 Mbit/s whose allowance is used up
    Then nothing is reported in 2 s
    When 600 full segments arrive in each of 2 seconds
    Then pacing is reported at most once a second, with queued and dropped segments
    And the end is reported once, after all segments were sent

  # Guards against a daemon that does not send what it queues, at its time or at
  # its stop, and against resets that do not reach the queue.
  Scenario: The daemon sends queued segments when due and at its stop
    Given a balancer daemon with a link of 5 Mbit/s
    When it has 60 full segments of flow 1 for an agent
    Then it sends some at once, and 0.8 of the link afterwards
    When it has 300 full segments of flow 2 for an agent
    And it resets flow 1 and stops
    Then it has sent all segments of flow 2 in their order
