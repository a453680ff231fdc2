Feature: The object API client handles faults and reports true outcomes

  Background:
    Given a test server and the writers "ana" and "luis"

  # Guards against a repeated write or a false failure after a lost reply.
  Scenario: The reply is lost after the write took effect
    Given "ana" wrote "services/rounds"
    And the test server loses the next 1 replies
    When "ana" writes "services/rounds"
    Then the write is reported as done at the version that it made
    And 2 writes took effect in the test server

  # Guards against reporting another writer's version as the client's own.
  Scenario: Another write follows before the client retries
    Given "ana" wrote "services/rounds"
    And the test server loses the next 1 replies
    When "ana" writes "services/rounds" and "luis" follows before the retry
    Then the write is reported as done at version 2
    And "services/rounds" is at version 3, written by "luis"

  # Guards against a false failure of a write that certainly had no effect.
  Scenario: A write lost before it took effect is retried
    Given "ana" wrote "services/rounds"
    And the test server loses the next 1 writes
    When "ana" writes "services/rounds"
    Then the write is reported as done at the version that it made
    And 2 writes took effect in the test server

  # Guards against reporting a failure of a write that may still take effect.
  Scenario: A lost write of unknown outcome is reported as unknown
    Given the test server loses the next 1 writes
    When "ana" writes "services/rounds"
    Then the call fails with "WriteUnknownError" and "not known whether the write ran"
    And 0 writes took effect in the test server

  Scenario: A write whose reply and check read are lost is reported as unknown
    Given "ana" wrote "services/rounds"
    And the test server loses 1 reply and is down for 60 seconds
    When "ana" writes "services/rounds"
    Then the call fails with "WriteUnknownError" and "not known whether the write ran"
    And 2 writes took effect in the test server

  # Guards against an unknown outcome while there is time for a check read.
  Scenario: The outcome is found after an outage that opens the circuit breaker
    Given "ana" wrote "services/rounds"
    And the test server loses 1 reply and is down for 8.5 seconds
    When "ana" writes "services/rounds"
    Then the write is reported as done at the version that it made

  # Guards against a retry that takes effect beside the delayed first attempt.
  Scenario: A slow server applies a write after the attempt timed out
    Given "ana" wrote "services/rounds"
    And the test server takes 3 seconds for each call during 4 seconds
    When "ana" writes "services/rounds"
    Then the write is reported as done at the version that it made
    And 2 writes took effect in the test server

  # Guards against lost updates and conflicts that do not name the other writer.
  Scenario: Two writers race
    Given "ana" wrote "services/rounds"
    When "ana" and "luis" write "services/rounds" at once
    Then one write succeeds, and the ConflictError of the other names its writer
    And 2 writes took effect in the test server

  # Guards against endless retries during an outage.
  Scenario: The server is down
    Given the test server is down
    When "ana" reads "services/rounds" 40 times
    Then each read fails with "PlatformUnavailableError"
    And fewer than 11 reads were sent

  # Guards against a circuit breaker that stays open after the outage.
  Scenario: The circuit breaker closes after the outage
    Given the test server is down
    And "ana" reads "services/rounds" 5 times
    When the test server is up again and 15 seconds pass
    And "ana" reads "services/rounds" 1 times
    Then no read fails

  # Guards against a client that depends on a single base URL.
  Scenario: The client uses the next base URL when the first does not reply
    Given "ana" uses a base URL without a listener before the test server's
    When "ana" writes "services/rounds"
    Then the write is reported as done at the version that it made

  # Guards against retries that ignore Retry-After.
  Scenario Outline: The client waits when the rate limit is reached
    Given a test server with 2 reads and writes a second
    When "ana" <verb> 4 objects at once
    Then all succeed and between 1 and 4 calls were limited

    Examples:
      | verb    |
      | creates |
      | reads   |

  # Guards against a watch that uses up the read rate or never resumes.
  Scenario: A watch resumes after an outage without reading everything again
    Given "luis" watches "services/"
    And the test server is down
    And the client waits 20 seconds
    When the test server is up again and "ana" writes "services/rounds"
    Then "luis" receives "services/rounds" in a batch of changes
    And each call of a watch counts as one read

  # Guards against changes missed because the history no longer has them.
  Scenario: A watch reads everything again when the history is gone
    Given a test server with a history of 3 writes
    And "luis" watches "services/"
    And the test server is down for a watch that misses 6 writes
    When the test server is up again and 10 seconds pass
    Then "luis" receives 6 objects in a batch of all objects

  # Guards against invalid values and unconditional writes in the test server.
  Scenario Outline: The test server rejects invalid requests
    When "<method>" "<path>" is sent with <bytes> bytes
    Then the test server replies <status>
    And 0 writes took effect in the test server

    Examples:
      | method | path                     | bytes   | status |
      | PUT    | /v1/objects/a            | 10      | 400    |
      | PUT    | /v1/objects/a?expect=1   | 10      | 409    |
      | PUT    | /v1/objects/a?expect=0   | 1000001 | 413    |
      | PUT    | /v1/objects/a b?expect=0 | 10      | 400    |
      | GET    | /v1/watch?prefix=&from=9&wait=0 | 0 | 410    |

  # Guards against wrong outcomes: lost, delayed and refused requests, other
  # writers and deletions, in 3,000 seeded runs.
  Scenario: Outcomes are true under random faults
    When 3000 writes run against a faulty server with seed 7
    Then a write reported as done took effect exactly once at that version
    And a write reported as a conflict never took effect
    And at least 100 writes each ended as done, conflict, unknown and not run

  # Guards against CONFIG, a stale configuration: a watch waits 30 s on a
  # connection that went silent without a reset.
  Scenario: A silent connection is detected within 4 s
    When a client connects to the test server
    Then TCP keep-alive starts after 2 s without data
    And the connection is closed at most 2 s later

  # Guards against a daemon that ends: its store closed a connection while the
  # client was still setting it up, and the client raised AttributeError.
  Scenario: A connection that closes while it is set up is a failed call
    When a call is made on a connection that the server closes at once
    Then the call fails without an exception
