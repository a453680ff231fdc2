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
  Scenario: Any settings file decodes or raises SettingsError
    Then 300 random settings files and changed ones decode or raise SettingsError

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

  # Guards against a configuration that ends all balancers: it was applied, and
  # then no subscription and no state for peers could be encoded.
  Scenario Outline: A configuration that messages cannot carry raises one error
    Then a configuration with <field> <value> raises ObjectError

    Examples:
      | field                    | value               |
      | version                  | 9223372036854775808 |
      | version                  | -1                  |
      | limits/idle_timeout_ms   | 1e300               |
      | limits/idle_timeout_ms   | -1                  |
      | routes/0/priority        | 9223372036854775808 |
      | routes/0/priority        | -1                  |
      | routes/0/timeout_ms      | 1e300               |
      | routes/0/timeout_ms      | -1                  |
      | routes/0/target_latency_ms | 1e300             |

  # Guards against a weight for which no service can be chosen.
  Scenario Outline: A weight that is no share raises one error
    Then a configuration whose route is split by <weight> raises ObjectError

    Examples:
      | weight     |
      | -1         |
      | 1000000001 |

  # Guards against a configuration that is refused although it can be used.
  Scenario: A configuration with the largest numbers is told to agents and peers
    Then a configuration with the largest numbers is encoded and decoded again

  # Guards against the state of a peer that ends a starting balancer: an address
  # or a number was refused only when it was used.
  Scenario Outline: A malformed state of a peer cannot be decoded
    Then the state of a peer with <field> <value> is malformed

    Examples:
      | field                     | value               |
      | config/routes/0/address   | ["198.18.0.1", -1]  |
      | config/routes/0/address   | ["example", 443]    |
      | config/routes/0/shares    | []                  |
      | config/routes/0/shares    | [["rounds", -1]]    |
      | config/routes/0/timeout_s | NaN                 |
      | config/routes/0/target_s  | Infinity            |
      | config/routes/0/urgency   | -1                  |
      | config/idle_s             | NaN                 |
      | config/version            | -1                  |
      | former_services/0/address | ["198.18.0.1", 1e9] |
      | former_services/0/address | ["", 443]           |

  # Guards against a load report that names a source of the configuration whose
  # port is impossible: the task that fetches it ended with an error.
  Scenario Outline: A request to an impossible address fails without an error
    Then a request to <address> returns that it was not sent

    Examples:
      | address         |
      | 127.0.0.1:99999 |
      | [::1            |

  # Guards against a record that keeps new balancers from starting without the
  # store: no balancer could encode the state that they ask for.
  Scenario Outline: An incarnation that messages cannot carry is malformed
    Then an agent's record with incarnation <number> is malformed

    Examples:
      | number               |
      | -1                   |
      | 9223372036854775808  |
      | 18446744073709551616 |

  # Guards against a service, host or reason from another host that forges a log
  # line.
  Scenario: Characters that cannot be printed are escaped in log lines
    Then the log line of a service named "a\nevent=refuse" is "event=wait service=a\nevent=refuse", escaped

  # Guards against a flow query to which no reply can be encoded, as its masks
  # have 64 bits.
  Scenario: A query of more flows than a reply can tell about is refused
    Then a query of 64 flows is decoded and answered, and one of 65 cannot be decoded

  # Guards against a subscription that ends an agent: its report, or the compact
  # form of it, cannot carry the interval at which the balancer gets reports.
  Scenario Outline: A subscription with a long interval is served by reports
    Then an agent reports to 29 balancers and to one that asks for <form> reports every <interval> s

    Examples:
      | form    | interval |
      | full    | 1e9      |
      | compact | 1e9      |
      | compact | 2e6      |

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
      | Subscribe     | domain_state        | [true, -1, null] |
      | Subscribe     | domain_state        | [false, 5, NaN]  |
      | Subscribe     | domain_state        | [false, 5, -1.0] |

  # Guards against a check that refuses everything.
  Scenario: Control messages with possible numbers are decoded
    Then a LoadReport, a CompactReport and a Subscribe can be decoded
