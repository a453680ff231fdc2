Feature: Flows avoid upstreams that fail part of their requests

  # Guards against upstreams whose failures the balancers do not see, as their
  # heartbeats are good, and against those that are avoided for good.
  Scenario Outline: A failing upstream reports a longer service time
    Given an agent that detects outliers and a healthy upstream
    When the upstream is <mode> for 1 s
    Then its reported service time has risen to twice the usual or more
    When the upstream is <mode> for 20 s
    Then an outlier was logged once
    When the upstream is healthy for 10 s
    Then its reported service time is close to the usual again
    And an outlier and its recovery were logged once

    # 4 of 10 requests fail, or all take 8 times as long.
    Examples:
      | mode  |
      | mute  |
      | reset |
      | error |
      | slow  |

  # Guards against an upstream that is avoided and thus never recovers.
  Scenario Outline: A failing upstream recovers without requests
    Given an agent that detects outliers and a healthy upstream
    When the upstream is <mode> for 5 s
    Then its reported service time has risen to twice the usual or more
    When no requests arrive for 10 s
    Then its reported service time is close to the usual again
    And an outlier and its recovery were logged once

    Examples:
      | mode  |
      | mute  |
      | reset |
      | error |
      | slow  |

  # Guards against an avoided upstream that returns late, as its few good answers
  # weigh little.
  Scenario: A failing upstream recovers with few requests
    Given an agent that detects outliers and a healthy upstream
    When the upstream is reset for 5 s
    And the upstream is healthy for 5 s with 3 requests a second
    Then its reported service time is close to the usual again

  # Guards against an outlier that is missed because its agent has just started
  # and knows no usual service time.
  Scenario Outline: An upstream that fails from the start is an outlier
    Given a detecting agent whose upstream starts to fail 4 of 10 by <mode>
    When the upstream is <mode> for 1 s
    Then its reported service time has risen to twice the usual or more

    Examples:
      | mode  |
      | mute  |
      | reset |

  # Guards against a log that fills with lines of an upstream near the limit.
  Scenario: An upstream that fails few requests is seldom logged
    Given an agent that detects outliers and a healthy upstream
    When the upstream resets 18 percent of its requests for 60 s
    Then an outlier or its recovery was logged 1 to 6 times

  # Guards against false alarms by answers from a cache.
  Scenario: Single fast answers are no failures
    Given an agent that detects outliers and a healthy upstream
    When 1 of 10 requests are answered at once for 20 s
    Then its reported service time stayed close to the usual
    And no outlier was logged

  # Guards against false alarms by the slowest answers of a healthy upstream.
  Scenario: Few slow answers are no failures
    Given an agent that detects outliers and a healthy upstream
    When 3 of 100 requests take 7 times as long for 20 s
    Then no outlier was logged

  # Guards against false alarms by the time in the upstream's queue.
  Scenario: A busy upstream is no outlier
    Given an agent that detects outliers and a healthy upstream
    When requests arrive as fast as it serves them for 20 s
    Then its reported service time stayed close to the usual
    When 3 times 40 flows send their requests at once
    Then its reported service time stayed close to the usual
    And no outlier was logged

  # Guards against a long failure that becomes the norm: the upstream would be
  # avoided after it, or its usual answers would count as fast.
  Scenario: An upstream recovers from a long time of slow answers
    Given an agent that detects outliers and a healthy upstream
    When the upstream is slow for 120 s
    And no requests arrive for 15 s
    Then its reported service time is close to the usual again
    And no answer counts as fast in the next 2 s

  # Guards against a changed report in deployments without the contract.
  Scenario: Without detection the report is the average of the answers
    Given an agent that does not detect outliers and a healthy upstream
    When the upstream is error for 5 s
    Then the reported service time is the moving average of all answers
    And no outlier was logged

  # Guards against failures that are not counted, and ends that are none: an
  # answered, cancelled or returned request, a drain or the agent's own stop.
  Scenario Outline: Only an answer that the upstream owes counts as missing
    Given a request in progress for <age> s at a detecting agent
    When <what>, and the flow ends
    Then that is <outcome> failure

    Examples:
      | age  | what                                        | outcome |
      | 0.01 | the upstream resets                         | a       |
      | 0.01 | the upstream closes                         | a       |
      | 0.5  | the caller resets                           | a       |
      | 0.5  | the caller closes                           | a       |
      | 0.01 | the caller resets                           | no      |
      | 0.01 | the caller closes                           | no      |
      | 0.5  | the upstream returns the request            | no      |
      | 0.5  | the upstream drains                         | no      |
      | 0.5  | the agent stops                             | no      |
      | 0.01 | the upstream answers and the caller closes  | no      |

  # Guards against flows that prefer an upstream because its errors are quick.
  Scenario: An upstream with quick errors gets few flows until it has recovered
    Given 8 healthy upstreams with detecting agents and a detecting balancer
    When one fails 45 percent of the requests with quick errors for 4 s
    Then from the second second on it gets at most 0.9 of its share
    When that ends and 14 s pass
    Then in the last 4 s each gets 0.7 to 1.3 of its share

  # Guards against flows that have nowhere to go if all upstreams look bad.
  Scenario: If all upstreams fail alike the flows are spread as before
    Given 8 healthy upstreams with detecting agents and a detecting balancer
    When each fails 45 percent of the requests with quick errors for 4 s
    Then in the last 3 s each gets 0.7 to 1.3 of its share

  # Guards against a burst at an upstream that is assumed to be faster than all
  # others: with 30 ms assumed it got most of their flows.
  Scenario: An upstream that has just joined gets its share of a burst
    Given 8 upstreams of 80 ms of which one has just joined
    When 400 flows open at once
    Then the one that has joined gets at most 1.1 times its share

  # Guards against detection where it is not asked for.
  Scenario Outline: The contract health enables the detection
    Given settings of a side machine in which contracts is <value>
    Then they <outcome> outliers

    Examples:
      | value                | outcome       |
      | ["health", "warmup"] | detect        |
      | ["warmup"]           | do not detect |
      | []                   | do not detect |
      | missing              | do not detect |
