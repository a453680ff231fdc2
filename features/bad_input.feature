Feature: Bad input changes nothing

  # Guards against a datagram that crashes a daemon.
  Scenario: Any datagram decodes or raises WireError
    Then 500 random datagrams, and valid packets with changed bytes, decode or raise WireError

  # Guards against a call of an upstream that crashes an agent.
  Scenario: Any call decodes to a heartbeat or a deregistration, or raises WireError
    Then 500 random bodies and changed heartbeats decode or raise WireError

  # Guards against a stored object that crashes a balancer.
  Scenario: Any configuration object decodes or raises ObjectError
    Then 500 random objects and changed configurations decode or raise ObjectError

  # Guards against settings that fail only after the start of a daemon.
  Scenario: Any settings file decodes or raises a named error
    Then 300 random settings files and changed ones decode or raise a named error

  # Guards against a crash or leak after a sequence that no test foresees.
  Scenario: A balancer survives any sequence of packets and messages
    Then a balancer gets 150 random sequences of packets, messages and time

  # Guards against the same failure at an agent.
  Scenario: An agent survives any sequence of packets and messages
    Then an agent gets 150 random sequences of packets, messages and time

  # Guards against a configuration that crashes all balancers: the port does not
  # fit two bytes, and the resulting error is not one that they catch.
  Scenario: A configuration with an impossible port raises one error
    Then a configuration whose route has port 70000 raises ObjectError

  # Guards against a message that crashes an agent, as the agent sends reports
  # to the address in a subscription.
  Scenario: A datagram to an impossible port is dropped
    Then a datagram to port 70000 is counted as dropped

  # Guards against a stored object or a message that stops a daemon for seconds:
  # a host name in place of an IP address is looked up before each datagram.
  Scenario Outline: An address that is not an IP address and a port is malformed
    Then an agent's record and a subscription with address <address> are malformed

    Examples:
      | address           |
      | ["example", 7720] |
      | ["", 7720]        |
      | ["10.0.0.1", -1]  |
      | ["10.0.0.1", 70000] |

  # Guards against a balancer that ends because of one report: a negative load or
  # an infinite service time raised an error once a flow was placed.
  Scenario Outline: A control message with an impossible number is refused
    Then a <message> whose <field> is <value> cannot be decoded

    Examples:
      | message       | field               | value         |
      | LoadReport    | in_progress         | -1.0          |
      | LoadReport    | in_progress         | NaN           |
      | LoadReport    | service_ms          | Infinity      |
      | LoadReport    | interval_s          | NaN           |
      | LoadReport    | slots               | -1            |
      | LoadReport    | flows               | -1            |
      | CompactReport | in_progress_percent | -1            |
      | CompactReport | service_ms          | -1            |
      | CompactReport | interval_ms         | -1            |
      | CompactReport | flows               | 1000000000000 |
      | Subscribe     | interval_s          | NaN           |
      | Subscribe     | valid_s             | Infinity      |
      | Subscribe     | warmup_per_s        | NaN           |
      | Subscribe     | warmup_per_s        | Infinity      |
      | Subscribe     | warmup_per_s        | -1.0          |

  # Guards against a check that refuses everything.
  Scenario: Control messages with possible numbers are decoded
    Then a LoadReport, a CompactReport and a Subscribe can be decoded
