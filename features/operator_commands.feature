Feature: Operators change presets, services and upstreams by commands

  Background:
    Given an object store with services, presets and upstreams

  # Guards against lost updates when two operators act at once.
  Scenario Outline: Two operators change the same object at once
    When ana runs "<first>" and luis runs "<second>" at once
    Then one exits with 0, the other with 1 and the name of the first
    And the object store applied 1 write

    Examples:
      | first                         | second                          |
      | preset use peak               | preset use calm                 |
      | preset put {peak}             | preset put {peak}               |
      | preset put {new}              | preset put {new}                |
      | service put {rounds}          | service put {rounds}            |
      | upstream drain rounds r1      | upstream drain rounds r1        |
      | upstream retire rounds r3     | upstream undrain rounds r3      |

  # Guards against a conflict between independent changes.
  Scenario: Two operators change different upstreams at once
    When ana runs "upstream drain rounds r1" and luis runs "upstream drain rounds r2" at once
    Then both exit with 0
    And "upstream list" prints "r1 +draining"
    And "upstream list" prints "r2 +draining"

  # Guards against a retirement that the agent's next announcement reverts.
  Scenario: The last upstream of a host is drained and retired
    When ana runs "upstream drain rounds r5"
    And ana runs "upstream retire rounds r5"
    Then "upstream list" prints "r5 +gone"
    And the membership of rounds overrides the state of r5 with gone
    When ana runs "upstream add rounds r5 10.0.0.9:1 h2"
    Then the membership of rounds has no state overrides

  # Guards against an --expect that is ignored.
  Scenario: The expected version is not the current one
    When ana runs "preset use peak --expect 1"
    Then the command exits with 1 and one line naming "written by setup; expected version 1"
    And the object store applied 0 writes

  Scenario: The expected version is the current one
    When ana runs "service put {rounds} --expect 1 --json"
    Then the command exits with 0
    And the object store applied 1 write

  # Guards against a switch of the preset in force other than by "use".
  Scenario: The preset in force is edited
    When ana runs "preset put {peak}"
    And ana runs "preset put {calm}"
    Then "preset history" prints "calm +1 +setup"
    And "preset list" prints "calm +2 .* revision 1"
    And "preset diff calm" prints "\+revision: 2"
    And "preset show calm --revision 1" prints "revision: 1"

  Scenario: A preset in force cannot be deleted
    When the preset "calm" is deleted
    Then the operation fails with a UserError "the preset is in force"
    And the object store applied 0 writes

  # Guards against one revision number for two bodies.
  Scenario: An earlier revision is used again
    Given ana ran "preset put {calm}"
    And ana ran "preset use calm"
    When ana runs "preset use calm --revision 1"
    Then the command exits with 0
    And "preset history --json" gives revisions 1, 2, 1

  # Guards against a change that is applied twice or reported as failed.
  Scenario: The reply to a command's write is lost
    Given the test server loses the replies to 1 writes
    When ana runs "preset use peak"
    Then the command exits with 0
    And the object store applied 1 write

  Scenario: The outcome of a write is unknown
    Given the test server drops each write
    When ana runs "preset use peak"
    Then the command exits with 2 and one line naming "not known whether the write ran"
    And the object store applied 0 writes

  # Guards against a report of success before all daemons apply the change.
  Scenario: A command waits until its change is in force
    Given the daemons "b1" and "b2" that apply changes
    When ana runs "preset use peak --wait=5"
    Then the command exits with 0
    And stderr has the line "in force on 2 of 2 daemons"

  Scenario: Daemons that lag at the timeout are named
    Given the daemons "b1" and "b2" that apply changes
    And the daemon "b3" that does not
    When ana runs "upstream drain rounds r1 --wait 5"
    Then the command exits with 3
    And stderr has the line "crocusmux: not in force on b3: has version 0"
    And stderr has the line "in force on 2 of 3 daemons"

  Scenario: Waiting fails if no daemon is listed
    When ana runs "preset use peak --wait"
    Then the command exits with 3

  Scenario: The status shows lagging daemons, also while the object API is down
    Given the daemons "b1" and "b2" that apply changes
    And the daemon "b3" that does not
    And a daemon "b4" that does not reply
    Then "status" prints "2 of 4 daemons in order"
    And "status" prints "b3 .*behind on in-force memberships/rounds"
    And "status --problems" prints "b4 .*refused"
    And "explain rounds feed 10.0.0.1:99 --balancer b2" prints "caller: 10.0.0.1:99"
    And with the object API down, the status of "b1" and "b3" shows that "b3" lags
    And with the object API down, "status" exits with 2 and one line

  # Guards against replaced hosts that count as lagging for ever, and against
  # the deletion of the record of a running daemon.
  Scenario: The record of a replaced host is deleted
    Given the daemons "b1" and "b2" that apply changes
    And a daemon "b4" that does not reply
    When ana runs "status --forget b1"
    Then the command exits with 1 and one line naming "still answers"
    And "status --forget b4" prints "2 of 2 daemons in order"
    And the object store applied 1 write

  Scenario Outline: JSON output is a single value on one line
    Given the daemons "b1" and "b2" that apply changes
    Then "<command> --json" prints one JSON value

    Examples:
      | command                         |
      | preset list                     |
      | preset show calm                |
      | preset diff peak                |
      | preset history                  |
      | upstream list rounds            |
      | upstream drain rounds r1        |
      | service list                    |
      | service show rounds             |
      | status                          |
      | explain rounds feed 10.0.0.1:99 |
      | watch services/ --count 1       |
      | check {settings}                |

  # Guards against output of "show" that "put" does not accept.
  Scenario Outline: The output of "show" is valid input of "put"
    When the output of "<show>" is given to "<put>"
    Then the command exits with 0

    Examples:
      | show                | put           |
      | preset show calm    | preset put    |
      | service show rounds | service put   |

  # Guards against stack traces, silent failures and partial changes.
  Scenario Outline: Bad input is rejected with one line and changes nothing
    When ana runs "<command>"
    Then the command exits with 1 and one line naming "<problem>"
    And the object store applied 0 writes

    Examples:
      | command                                      | problem                   |
      | presets                                      | does not exist            |
      | preset                                       | Did you mean              |
      | check /nowhere                               | cannot read               |
      | check {broken}                               | line 2                    |
      | platform {settings}                          | role is balancer          |
      | balancer {platform}                          | role is platform          |
      | agent {settings}                             | role is balancer          |
      | demo --for-ever                              | does not exist            |
      | preset list extra                            | No arguments expected     |
      | preset show none                             | presets/none              |
      | preset show calm --revision 9                | revision 9                |
      | preset show calm --revision x                | whole number              |
      | preset show ../calm                          | a name has 1 to 64        |
      | preset diff calm@x peak                      | not a number              |
      | preset put /nowhere                          | No such file              |
      | preset put {broken}                          | line 2                    |
      | preset put {rounds}                          | unknown field             |
      | preset put {shares}                          | reserve_share adds up     |
      | preset put {new} --expect one                | whole number              |
      | preset use none                              | presets/none              |
      | preset use empty                             | needs class feeds         |
      | preset use peak --wait soon                  | put --wait last           |
      | preset history none                          | presets/none              |
      | upstream list none                           | services/none             |
      | upstream add none u1 10.0.0.9:1 h1           | services/none             |
      | upstream add rounds r1 10.0.0.9:1 h1         | exists on host h1         |
      | upstream add rounds r4 10.0.0.9:1 h9         | not a member yet          |
      | upstream add rounds r4 nowhere h1            | not ip:port               |
      | upstream add rounds r4 10.0.0.9:1 h1 --slots 0 | 1 or more               |
      | upstream drain rounds r9                     | no such upstream          |
      | upstream drain rounds r1 --wait x            | put --wait last           |
      | upstream undrain rounds r1                   | state is ready            |
      | upstream retire rounds r1                    | drain it first            |
      | upstream add rounds r6 10.0.0.9:1 h1         | exists on host h2         |
      | service show none                            | services/none             |
      | service put {peak}                           | unknown field             |
      | service put {slots}                          | hash_slots is 128         |
      | service put {taken}                          | has the port 7001/tcp     |
      | status --daemon nowhere                      | not ip:port               |
      | explain rounds feed 10.0.0.1                 | not ip:port               |
      | explain rounds feed 10.0.0.1:9 --balancer b9 | not a balancer            |
      | watch --count many                           | whole number              |

  Scenario Outline: Each command fails with one line while the object API is down
    Given the object API is down
    When ana runs "<command>"
    Then the command exits with 2 and one line naming "GET"

    Examples:
      | command                            |
      | preset list                        |
      | preset use peak                    |
      | upstream list                      |
      | upstream add rounds r4 10.0.0.9:1 h1 |
      | service put {rounds}               |
      | status                             |
      | explain rounds feed 10.0.0.1:9     |
      | watch                              |
