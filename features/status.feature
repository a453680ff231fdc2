Feature: A daemon reports its status over HTTP

  Scenario: Readiness follows the configuration
    Given the HTTP server of a daemon without configuration
    Then GET /ready gives 503 and "no configuration yet"
    When the daemon becomes ready
    Then GET /ready gives 200 and "ready"
    When the daemon loses its upstreams
    Then GET /ready gives 503 and "no upstream of any service"
    And GET /status gives 200 and "Z","draining":false,"versions":{"in-force":7}

  Scenario: Each daemon of a process has its own metrics
    Given the HTTP server of a daemon without configuration
    When the daemon counts 3 flows, 70 reasons and service times of 4 and 700 ms
    Then GET /metrics gives 200 and crocusmux_new_flows_total 3.0
    And GET /metrics gives 200 and crocusmux_refused_total{reason="other"} 6.0
    And GET /metrics gives 200 and service_time_bucket_total{le="0.005"} 1.0
    And GET /metrics gives 200 and service_time_bucket_total{le="+Inf"} 2.0
    And a second daemon's metrics hold crocusmux_new_flows_total 0.0

  Scenario Outline: Other requests
    Given the HTTP server of a daemon without configuration
    Then GET <path> gives <code> and <body>

    Examples:
      | path               | code | body                      |
      | /explain?flow=T-00 | 200  | {"flow":"T-00"}           |
      | /explain?flow=     | 400  | not a flow id             |
      | /extra             | 200  | from the daemon           |
      | /other             | 404  | Not Found                 |

  Scenario: The error of an address that is in use names the address
    Given the HTTP server of a daemon without configuration
    Then a second server on its port fails with an error that names the address
