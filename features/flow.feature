Feature: Hash slot ownership keeps flows, and non-idempotent work runs at most once

  Scenario: The specification holds, and each broken variant of it is found
    When the model checker searches the specification
    Then each check has its expected result

  Scenario: Generated sequences of traffic and faults violate no invariant
    When 15 generated sequences of 100 actions run on the agent cores
    Then no invariant was violated

  Scenario Outline: Random faults reveal a missing rule
    Given an agent core without the rule "<rule>"
    When random faults with seeds <seeds> run on the agent cores
    Then an invariant was violated

    Examples:
      | rule                                      | seeds |
      | a fenced term is refused                  | 0-29  |
      | a witness knows a flow before it runs     | 0-29  |
      | messages read after a pause are not run   | 0-29  |

  Scenario Outline: Simulated sessions equal their golden files
    When the session "<name>" is simulated
    Then its event log equals the golden file

    Examples:
      | name        |
      | tcp_flow    |
      | udp_order   |
      | takeover    |
      | handover    |
      | refusal     |

  Scenario: Long flows stay at their holder when the slot owners change
    Given a fleet of 4 agents
    And 200 long TCP flows and 100 long UDP flows
    When each agent in turn drains after a new agent has joined
    Then each flow is still at its first holder

  Scenario: An owner that reaches no witness runs no order
    Given a fleet of 4 agents
    When all messages between agents are lost and 20 orders arrive
    Then no order ran

  Scenario: A reservation without an attach expires and never runs
    Given a fleet of 4 agents
    When a flow is placed, 3 s pass, and its balancer attaches
    Then the attach is refused as not run

  Scenario: A packet for one service never reaches an upstream of another
    Given a fleet of 4 agents
    When packets for one service carry a flow id of another
    Then only the packet for the right service reaches an upstream

  Scenario: A holder drops the duplicate of an order
    Given a fleet of 4 agents
    When an order is sent 3 times through different balancers
    Then the order ran once

  Scenario: The slots of a dead owner are taken over without the object API
    Given a fleet of 4 agents
    When one agent dies and is suspected after 0.8 s
    Then new long and idempotent flows of its slots are served within 3 s
    And new orders of its slots are served within 3 s

  Scenario: Retries stay within the retry budget
    When 1000 first attempts with a retry share of 0.1 are all refused
    Then between 90 and 112 retries were allowed

  Scenario: An open flow takes at most 500 bytes of memory in the core
    When 2000 long flows are open on one agent
    Then each takes at most 500 bytes of memory
