Feature: The records of hosts that never come back are deleted

  # Guards against records that stay in the store for ever, and against the
  # deletion of one whose host is away for a planned restart.
  Scenario: The record of a host that is silent for 10 minutes is deleted
    Given a balancer with the records of x and y at revision 10
    When 590 s pass with reports of y
    Then no record is to be deleted
    When 75 s pass with reports of y
    Then the record of x at revision 10 is to be deleted once
    When the record of x is gone and 3600 s pass with reports of y
    Then no record is to be deleted

  # Guards against the deletion of a record that is in use.
  Scenario: The record of a host that reports is kept
    Given a balancer with the records of x and y at revision 10
    When 3600 s pass with reports of x and y
    Then no record is to be deleted

  # Guards against the deletion of a record whose agent started meanwhile.
  Scenario Outline: A sign of life begins the 10 minutes anew
    Given a balancer with the records of x and y at revision 10
    When 599 s pass with reports of y
    And <sign>
    And 590 s pass with reports of y
    Then no record is to be deleted
    When 75 s pass with reports of y
    Then the record of x at revision <revision> is to be deleted once

    Examples:
      | sign                                | revision |
      | a report of x arrives               | 10       |
      | the record of x is at revision 12   | 12       |

  # Guards against an old list that brings a deleted record back.
  Scenario: A record of an older revision is no sign of life
    Given a balancer with the records of x and y at revision 10
    When 300 s pass with reports of y
    And the record of x is at revision 9
    And 365 s pass with reports of y
    Then the record of x at revision 10 is to be deleted once

  # Guards against a balancer that is cut off and deletes the records of all
  # agents, or of those whose first report arrives last after that.
  Scenario: A balancer that hears of no agent deletes nothing
    Given a balancer with the records of x and y at revision 10
    When 3600 s pass without reports
    And 590 s pass with reports of y
    Then no record is to be deleted

  # Guards against a process that was suspended and takes all hosts for silent.
  Scenario: A balancer that was suspended deletes nothing
    Given a balancer with the records of x and y at revision 10
    When 5 s pass with reports of y
    And the process is suspended for 3600 s
    And 590 s pass with reports of y
    Then no record is to be deleted

  # Guards against a storm of calls after the loss of many hosts, and against
  # records that are deleted by no balancer.
  Scenario Outline: Many balancers together delete fewer than one record a second
    Given <balancers> balancers with the records of <records> hosts that are gone
    When they run for <minutes> minutes and see a deletion 3 s late
    Then all records are deleted with at most <calls> calls
    And at most 60 calls are made in any 60 s

    Examples:
      | balancers | records | minutes | calls |
      | 1         | 3       | 20      | 3     |
      | 22        | 57      | 30      | 65    |
      | 100       | 100     | 20      | 130   |

  # Guards against a deletion that is selected and not made, and against one that
  # takes the record of an agent that lives.
  Scenario: A balancer deletes the record of an agent that was killed
    Given records are deleted after 5 s without a report and a wait of up to 1 s
    And a store with a route to rounds, 2 balancers and 2 agents of rounds
    When the agent of host 1 is killed
    And 10 s pass with heartbeats of upstreams 2
    Then the store lists 1 agents
    And the record of agent 2 has been written once

  # Guards against an agent of an older release that is cut off for 10 minutes:
  # it does not write its record again.
  Scenario: The record of an older release is not deleted
    Given records are deleted after 5 s without a report and a wait of up to 1 s
    And a store with a route to rounds, 2 balancers and 2 agents of rounds
    When the agent of host 1 is killed, and its record is that of an older release
    And 10 s pass with heartbeats of upstreams 2
    Then the store lists 2 agents
