Feature: Library flows through balancers' WebSocket endpoints to a holder

  Background:
    Given two balancers, one holder and a TCP upstream

  Scenario Outline: A flow survives the loss of its connections
    When 300 kB pass both ways while <event>
    Then both directions arrived byte for byte over <count> or more connections
    And one upstream was used, the outcome is answered, later Hellos resumed

    Examples:
      | event                                       | count |
      | connections break and balancers lack configuration, seed 1 | 5     |
      | connections break and balancers lack configuration, seed 2 | 5     |
      | the balancer in use stops                   | 2     |

  Scenario Outline: A flow that is not answered
    Given that <fault>
    Then a flow is <outcome> because "<reason>" with <count> upstream used

    Examples:
      | fault                       | outcome | reason                       | count |
      | the upstream is closed      | refused | cannot reach the upstream    | 0     |
      | attach says refused         | refused | queue-full                   | 0     |
      | attach says unknown         | unknown | holder lost                  | 0     |
      | attach finds no host        | unknown | no answer to the opening     | 0     |
      | no balancer listens         | refused | no balancer could be reached | 0     |
      | the upstream breaks off     | unknown | the upstream broke off       | 1     |
      | the upstream closes at once | unknown | closed without an answer     | 1     |
      | the agent refuses late      | unknown | drain deadline               | 1     |
      | the holder vanishes         | unknown | no balancer reached          | 1     |

  Scenario Outline: A caller that leaves ends the connection to the upstream
    When a caller <leaves> during its feed
    Then the upstream is reset after <low> to <high> s because "<reason>"

    Examples:
      | leaves   | reason                  | low | high |
      | cancels  | cancelled               | 0   | 1    |
      | vanishes | no connection for 120 s | 119 | 121  |

  Scenario Outline: Flow control stops the sender when a side never reads
    Given that <fault>
    Then a caller that <does> blocks the sender of 20 MB at bounded buffers

    Examples:
      | fault                    | does               |
      | the upstream never reads | writes             |
      | the upstream floods      | waits              |
      | the holder never reads   | ignores the window |

  Scenario Outline: A caller that violates the protocol is disconnected
    Then "<message>" gets close code <code>, <reports> report and no attach

    Examples:
      | message       | code | reports |
      | text          | 1002 | 1       |
      | wrong version | 1002 | 1       |
      | garbage       | 1002 | 1       |
      | data first    | 1002 | 1       |
      | oversized     | 1009 | 0       |
      | nothing       | 1002 | 1       |
