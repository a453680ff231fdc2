Feature: The adapter decodes the platform's formats and decides nothing

  # Guards against a field decoded at the wrong offset.
  Scenario: A caller's packet is decoded
    Given a packet of caller 100.64.0.9:1234 to 198.18.7.1:8080 with seq 70000, ack 80000, flags SYN and 5 bytes of data
    Then its flow is 100.64.0.9:1234>198.18.7.1:8080
    And it opens a flow with seq 70000, ack 80000 and length 5

  # Guards against faults MIXED and UNASKED: changes of other header fields.
  Scenario: A forwarded packet keeps its checksum, fields and data
    Given a packet of caller 100.64.0.9:1234 to 198.18.7.1:8080 with seq 70000, ack 80000, flags ACK BOUNCED and 5 bytes of data
    When it is passed on with service tag 4000000000 and mark 1
    Then only echo, pad and BOUNCED have changed

  # Guards against upstream packets assigned to the wrong flow.
  Scenario: A packet of an upstream belongs to its caller's flow
    Given a packet of an upstream from 198.18.7.1:8080 to caller 100.64.0.9:1234
    Then its flow is 100.64.0.9:1234>198.18.7.1:8080
    And it is not a returned packet

  # Guards against a returned packet that counts as an answer.
  Scenario: A packet that an upstream returns belongs to the caller's direction
    Given a packet of caller 100.64.0.9:1234 to 198.18.7.1:8080 with seq 70000, ack 80000, flags SYN BOUNCED and 0 bytes of data
    When the upstream returns it
    Then its flow is 100.64.0.9:1234>198.18.7.1:8080
    And it is a returned packet

  # Guards against fault MIXED: a reset of another flow.
  Scenario: A reset goes from the route's address to the caller
    When the flow 100.64.0.9:1234>198.18.7.1:8080 is reset with seq 77
    Then the reset has seq 77, checksum 0, no data and belongs to that flow

  # Guards against a crash by malformed datagrams.
  Scenario: Any bytes decode to a packet or raise one error
    Then 2000 random datagrams are decoded or refused as malformed

  # Guards against malformed heartbeats that crash an agent or change its state.
  Scenario Outline: Malformed and unknown calls are rejected
    When an upstream calls <method> <path> with <body>
    Then the call is refused as malformed

    Examples:
      | method | path                                | body                               |
      | POST   | /crocusmux/endpoints/i-1/heartbeat  | nothing                            |
      | POST   | /crocusmux/endpoints/i-1/heartbeat  | []                                 |
      | POST   | /crocusmux/endpoints/i-1/heartbeat  | a heartbeat without service        |
      | POST   | /crocusmux/endpoints/i-1/heartbeat  | a heartbeat with sequence "x"      |
      | POST   | /crocusmux/endpoints/i-1/heartbeat  | a heartbeat with state "sleeping"  |
      | POST   | /crocusmux/endpoints/i-1/heartbeat  | a heartbeat with address "nowhere" |
      | POST   | /crocusmux/endpoints/i-1/heartbeat  | a heartbeat with born "yesterday"  |
      | GET    | /crocusmux/endpoints/i-1/heartbeat  | nothing                            |
      | POST   | /crocusmux/endpoints/i-1/restart    | nothing                            |

  # Guards against a heartbeat that ends an agent: its report refused the number
  # of slots, in the timer that sends all reports.
  Scenario Outline: A heartbeat with a number that no report can carry is rejected
    When an upstream calls POST /crocusmux/endpoints/i-1/heartbeat with a heartbeat with <field> <value>
    Then the call is refused as malformed

    Examples:
      | field           | value               |
      | max_concurrency | 2147483647          |
      | max_concurrency | 1000000001          |
      | max_concurrency | -1                  |
      | sequence        | -1                  |
      | sequence        | 9223372036854775808 |
      | born            | -1                  |
      | born            | 9223372036854775808 |
      | warmup_left_ms  | -1                  |
      | warmup_left_ms  | 1e300               |

  # Guards against a limit that is lower than what a report can carry, or higher.
  Scenario Outline: A heartbeat with the largest numbers is reported
    When an upstream calls POST /crocusmux/endpoints/i-1/heartbeat with a heartbeat with <field> <value>
    Then an agent reports <slots> slots to balancers of either release

    Examples:
      | field           | value               | slots      |
      | max_concurrency | 1000000000          | 1000000000 |
      | max_concurrency | 0                   | 1          |
      | sequence        | 9223372036854775807 | 4          |
      | born            | 9223372036854775807 | 4          |
      | warmup_left_ms  | 1e9                 | 4          |

  # Guards against a heartbeat whose fields are mixed up.
  Scenario: A heartbeat is decoded
    When an upstream calls POST /crocusmux/endpoints/i-1/heartbeat with a heartbeat with sequence 7
    Then it is a heartbeat of i-1 with sequence 7 and 4 slots that is ready

  # Guards against routes to the wrong services.
  Scenario: A desired state is decoded
    Given a desired state of version 7 with a route of one service and one of two
    Then its routes lead to rounds, and to rounds and wheelbook by 90 and 10

  # Guards against a desired state that is partly applied.
  Scenario Outline: A malformed desired state is rejected as a whole
    Given a desired state whose route has <field> <value>
    Then it is refused as malformed

    Examples:
      | field       | value        |
      | hostname    | "no-address" |
      | path_prefix | "/x/"        |
      | service     | 5            |
      | timeout_ms  | "soon"       |

  # Guards against a rate that applies to another service, and against
  # configurations without the fields that are refused.
  Scenario: The warm-up rates of the services are decoded
    Given a desired state with services of several warm-up rates
    Then the limits are 12.5 for rounds and 3 for wheelbook, and none for others

  # Guards against a rate that no agent can apply.
  Scenario Outline: A malformed service rejects the desired state as a whole
    Given a desired state whose service has <field> <value>
    Then it is refused as malformed

    Examples:
      | field        | value    |
      | warmup_per_s | -1       |
      | warmup_per_s | 1e999    |
      | warmup_per_s | 1e10     |
      | warmup_per_s | "2"      |
      | warmup_per_s | null     |
      | warmup_per_s | true     |
      | warmup_s     | "soon"   |
      | name         | 5        |

  # Guards against a start with invalid settings.
  Scenario Outline: Invalid settings are rejected with the name of the field
    Given settings of a side machine in which <field> is <value>
    Then they are refused with an error that names <word>

    Examples:
      | field         | value                   | word          |
      | node_name     | missing                 | node_name     |
      | port_range    | "7720"                  | port_range    |
      | platform      | {}                      | address       |
      | machine_class | "spare"                 | machine_class |
      | app           | "nowhere"               | nowhere       |
      | service       | missing                 | service       |
      | bounds        | {"evacuate_ms": "soon"} | evacuate_ms   |
      | limits        | {"link_mbps": -1}       | link_mbps     |
      | limits        | {"link_mbps": -1e-9}    | link_mbps     |
      | limits        | {"link_mbps": "5"}      | link_mbps     |
      | limits        | {"link_mbps": true}     | link_mbps     |
      | heartbeat_ms  | 0                       | heartbeat_ms  |
      | heartbeat_ms  | 1e10                    | heartbeat_ms  |
      | bounds        | {"grace_s": -1}         | grace_s       |
      | port_range    | [0, 7735]               | port_range    |
      | port_range    | [70000, 70001]          | port_range    |
      | ip            | "example"               | example       |
      | app           | "example:8165"          | example       |

  # Guards against a start with a bandwidth that JSON does not have.
  Scenario Outline: A bandwidth that is no finite number is rejected
    Given settings of a side machine with the text "link_mbps": <value>
    Then they are refused with an error that names <word>

    Examples:
      | value    | word      |
      | NaN      | JSON      |
      | Infinity | JSON      |
      | 1e999    | link_mbps |

  # Guards against a reload that fails with an error nobody catches.
  Scenario: Settings that are nested too deep are rejected
    Given settings of a side machine in which an unknown field is nested 20000 deep
    Then they are refused with an error that names recursion

  # Guards against a failed start with the settings of a newer platform.
  Scenario: Unknown fields of the settings are ignored
    Given settings of a side machine in which colour is "blue"
    Then they are those of an agent of rounds

  # Guards against calls to the store in deployments that use no evacuations,
  # and against deployments that use them without effect.
  Scenario Outline: Evacuations are enabled by their bound in the settings
    Given settings of a side machine in which bounds is <value>
    Then evacuations are <state>

    Examples:
      | value                               | state    |
      | missing                             | disabled |
      | {"grace_s": 6}                      | disabled |
      | {"grace_s": 6, "evacuate_ms": null} | disabled |
      | {"grace_s": 6, "evacuate_ms": 5000} | enabled  |
      | {"evacuate_ms": 0.5}                | enabled  |

  # Guards against pacing in deployments that do not state the bandwidth of the
  # link, and against a stated one without effect.
  Scenario Outline: The bandwidth of the link is read from the settings
    Given settings of a side machine in which limits is <value>
    Then the bandwidth of the link is <mbps> Mbit/s

    Examples:
      | value                           | mbps |
      | missing                         | 0    |
      | null                            | 0    |
      | {}                              | 0    |
      | {"cores": 0.3}                  | 0    |
      | {"link_mbps": null}             | 0    |
      | {"link_mbps": 0}                | 0    |
      | {"link_mbps": 5}                | 5    |
      | {"link_mbps": 2.5, "cores": 1}  | 2.5  |

  # Guards against lists that end after the first page.
  Scenario: All pages of a list are read
    Given a store with 8 objects
    Then a list has 8 objects and the store's revision

  # Guards against changes and deletions that are confused.
  Scenario: A watch returns changes and deletions
    Given a store with 2 objects
    When object 1 changes and object 2 is deleted
    Then a watch from the former revision tells both

  # Guards against a watch that waits although the store dropped its history.
  Scenario: A watch from a dropped revision returns None
    Given a store with 2 objects
    When object 1 changes and the store drops its history
    Then a watch from the former revision says that history is gone

  # Guards against errors that look like an empty store.
  Scenario Outline: An error response of the store raises an error of its kind
    Given a store with 2 objects
    When the store answers <status> to all calls
    Then a list raises <error>

    Examples:
      | status | error                    |
      | 503    | PlatformUnavailableError |
      | 429    | RateLimitedError         |
      | 404    | NotFoundError            |

  # Guards against a duplicate object after a lost response.
  Scenario: Repeating a write whose response was lost raises ConflictError
    Given a store with 2 objects
    When the answer to the creation of object 9 is lost
    Then creating it again raises ConflictError

  # Guards against one object of another writer that ends every balancer: the
  # decoder fails on deep nesting with an error that nobody caught.
  Scenario: An object that is nested too deep does not hide the others
    Given a store whose list and watch have an object nested 2000 deep between two others
    When the objects are listed and watched
    Then both results name all three objects
    And the specs of the two others are unchanged

  # Guards against pruning that changes brackets in strings or shallow values.
  Scenario Outline: Only values beyond the depth limit are pruned
    When the JSON <text> is pruned to depth 2
    Then the pruned JSON is <result>

    Examples:
      | text                  | result              |
      | [1,[2,3],{"a":4}]     | [1,[2,3],{"a":4}]   |
      | [[[1]],[{"a":{}}],5]  | [[null],[null],5]   |
      | {"a":"[[[","b":[[0]]} | {"a":"[[[","b":[null]} |
      | ["\\"]]]",[2]]        | ["\\"]]]",[2]]      |
      | [[["a\\"]],[["b         | [[null],[null       |
      | ["[[[                 | ["[[[               |
      | ["a\\                 | ["a\\               |

  # Guards against a heartbeat that stops its agent: the time for a string
  # without an end grew by the square of its length, 6.8 s for 40 KB.
  Scenario: A string without an end is scanned once
    When JSON of 200 KB that is one string without an end is pruned
    Then the document is unchanged after at most 1 s of processor time

  # Guards against a heartbeat that is nested too deep and raises an error in the
  # agent's HTTP server.
  Scenario: A heartbeat that is nested too deep is refused as malformed
    When a heartbeat whose body is nested 2000 deep arrives
    Then the call is refused as malformed

  # Guards against a heartbeat that stops its agent: 4 MB of brackets took 2.4 s
  # of processor time.
  Scenario Outline: A heartbeat that is too long is refused as malformed
    When a heartbeat padded to <size> bytes arrives
    Then the call is <outcome>

    Examples:
      | size  | outcome              |
      | 65537 | refused as malformed |
      | 65536 | accepted             |

  # Guards against bad input that fills the buffer of the log.
  Scenario: The error of bad input is logged in part
    Then the log line of bad input with an error of 100000 characters has at most 600

  # Guards against a datagram that is nested too deep and raises an error in a
  # balancer's receiver.
  Scenario: A control message that is nested too deep is bad input
    When a control message that is nested 2000 deep arrives
    Then it is counted as bad input

  # Guards against hedges of requests that may run only once, and against none for
  # downloads, which may be repeated.
  Scenario Outline: Only idempotent requests and downloads may be repeated
    When a desired state has a route of type <type>
    Then the requests of that route <may> be repeated

    Examples:
      | type           | may     |
      | idempotent     | may     |
      | download       | may     |
      | non_idempotent | may not |
      | upload         | may not |
