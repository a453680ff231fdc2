Feature: Heartbeats identify the current boot of an upstream

  # Guards against a heartbeat that was delayed by a partition.
  Scenario Outline: Which heartbeat counts after one of boot 1000, sequence 5
    Given an upstream of boot 1000 with sequence 5 that is <state>
    When <seconds> s later a heartbeat of boot <born> with sequence <number> says <next>
    Then it <counts> and the upstream is <result>

    Examples:
      | state    | seconds | born | number | next     | counts         | result   |
      | ready    | 1       | 1000 | 6      | draining | counts         | draining |
      | ready    | 1       | 1000 | 5      | draining | does not count | ready    |
      | ready    | 1       | 1000 | 4      | draining | does not count | ready    |
      | draining | 1       | 1000 | 6      | ready    | does not count | draining |
      | draining | 1       | 2000 | 0      | ready    | counts         | ready    |
      | draining | 1       | 500  | 9      | ready    | does not count | draining |
      | ready    | 1       | 500  | 9      | draining | does not count | ready    |
      | draining | 9       | 500  | 1      | ready    | counts         | ready    |

  # Guards against a new boot that is ignored because the clock jumped back.
  Scenario: A boot with an earlier start counts from its second heartbeat
    Given an upstream of boot 1000 with sequence 5 that is draining
    When 1 s later a heartbeat of boot 500 with sequence 0 says ready
    And 1 s later a heartbeat of boot 500 with sequence 1 says ready
    Then it counts and the upstream is ready

  # Guards against fault DRAIN: two heartbeats of an earlier boot that a partition
  # had delayed made a draining upstream accept new flows again.
  Scenario: Late heartbeats of an earlier boot do not end a drain
    Given an upstream of boot 1000 with sequence 5 that is draining
    When 0 s later a heartbeat of boot 500 with sequence 8 says ready
    And 1 s later a heartbeat of boot 500 with sequence 9 says ready
    Then it does not count and the upstream is draining

  # Guards against an upstream id that is used again after a restart.
  Scenario: A new boot may restart its sequence
    Given an upstream of boot 1000 with sequence 5 that is ready
    When 1 s later a heartbeat of boot 3000 with sequence 0 says ready
    And 1 s later a heartbeat of boot 1000 with sequence 6 says draining
    Then it does not count and the upstream is ready

  # Guards against an upstream that gets no flow for the rest of its life: a call
  # of its former boot, which had the same id, arrived after its restart.
  Scenario Outline: A heartbeat after a late announcement of the end revokes it
    Given an upstream of boot 1000 with sequence 5 that is ready
    When <delay> s later an announcement of its end arrives
    And <seconds> s later a heartbeat of boot 1000 with sequence <number> says <next>
    Then it counts and the upstream is <result>

    Examples:
      | delay | seconds | number | next     | result   |
      | 1     | 2       | 7      | ready    | ready    |
      | 1     | 3       | 9      | ready    | ready    |
      | 1     | 2       | 7      | draining | draining |
      | 3     | 2       | 9      | ready    | ready    |

  # Guards against fault DRAIN: heartbeats that an upstream sent before it left
  # arrive later and make the agent accept new flows.
  Scenario Outline: Heartbeats from before the end do not revoke it
    Given an upstream of boot 1000 with sequence 5 that is ready
    When <delay> s later an announcement of its end arrives
    And <seconds> s later a heartbeat of boot 1000 with sequence <number> says ready
    Then it counts and the upstream is draining

    Examples:
      | delay | seconds | number |
      | 1     | 2       | 6      |
      | 1     | 1       | 7      |
      | 3     | 2       | 8      |
      | 0     | 9       | 6      |

  # Guards against a repeated call that keeps the old bound.
  Scenario: Each announcement of the end needs a later heartbeat
    Given an upstream of boot 1000 with sequence 5 that is ready
    When 1 s later an announcement of its end arrives
    And 2 s later a heartbeat of boot 1000 with sequence 7 says ready
    And 0 s later an announcement of its end arrives
    And 2 s later a heartbeat of boot 1000 with sequence 8 says ready
    Then it counts and the upstream is draining
    When 1 s later a heartbeat of boot 1000 with sequence 9 says ready
    Then it counts and the upstream is ready

  # Guards against a restart of an upstream that does not end the announcement.
  Scenario: A new boot revokes the announcement of the end at once
    Given an upstream of boot 1000 with sequence 5 that is ready
    When 1 s later an announcement of its end arrives
    And 0 s later a heartbeat of boot 2000 with sequence 0 says ready
    Then it counts and the upstream is ready
