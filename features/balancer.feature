Feature: A balancer sends each packet to the owner of its hash slot

  Background:
    Given a balancer core with members a, b and c of rounds at epoch 7

  Scenario: Two balancers with the same membership choose the same owners
    # Guards against packets of one flow that reach different owners when the
    # fabric distributes them over several balancers.
    Given a second balancer core that got the members one by one
    Then both send 500 flows to the same owners

  Scenario: A new member takes over only the flows of its own hash slots
    # Guards against a table that moves running flows at each change.
    When member d joins at epoch 8
    Then of 500 flows only those that d gains have moved

  Scenario: An older membership is ignored
    # Guards against a stale peer that reverts the epoch.
    When member d joins at epoch 8
    And a stale peer offers the members a and b at epoch 6
    Then the table is that of epoch 8

  Scenario: A silent owner is suspected within 1 s and replaced by rank 1
    # Guards against flows that wait for a dead host.
    When owner a answers nothing for 0.9 s after a packet
    Then host a is reported as suspected
    And the flow goes to the owner of rank 1
    When host a answers a probe
    Then the flow goes to a again with rank 0

  Scenario: An idle agent is not probed
    # Guards against probes that use up the control budget of a healthy fleet.
    When 60 s pass without traffic
    Then no message was sent

  Scenario: A reply for another service is dropped
    # Guards against a reply of one service that reaches a caller of another.
    When an agent replies to a rounds flow under the key of wheelbook
    Then nothing is sent to the caller

  Scenario: An unanswered opening is retransmitted and then refused as not run
    # Guards against a caller that waits forever, and against "unknown" for
    # work that no holder was attached to.
    When a booking is opened and no agent answers
    Then the opening was sent more than 3 times with one flow id
    And the booking is refused as not run within its deadline of 2 s

  Scenario: A booking whose holder is lost after Attach is never retried
    # Guards against a non-idempotent request that runs twice.
    When a booking is placed and its holder is lost after Attach
    Then its outcome is unknown and nothing is sent

  Scenario: A booking whose holder was not reached is placed elsewhere
    # Guards against a refusal where a retry is safe, as the work did not run.
    When a booking is placed and its holder cannot be dialled
    Then a second attempt excludes the first upstream
