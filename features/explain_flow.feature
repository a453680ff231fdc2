Feature: A balancer explains where it would place a new flow

  # Guards against an explanation that names another upstream than the choice.
  Scenario Outline: The explanation names the only agent that can get the flow
    Given a balancer with the agents a, b, c of rounds and d of wheelbook
    When agents a, b are left out as they are <reason>
    And the placement of a new flow is explained
    Then agents a, b are left out as <reason>
    And the explanation names only agent c
    And a caller that opens the flow is offered to agent c

    Examples:
      | reason        |
      | silent        |
      | lost          |
      | not-accepting |
      | avoided       |
      | backing-off   |

  # Guards against an exclusion, such as that of an evacuated failure domain,
  # that the choice has and the explanation does not know of.
  Scenario: An exclusion of the choice is one of the explanation
    Given a balancer with 12 uneven agents of rounds in 4 failure domains
    When the choice excludes the agents of abay as evacuated
    And the placement of a new flow is explained
    Then 3 agents are left out as evacuated
    And 100 openings of the flow are offered to possible agents

  # Guards against an evacuated agent that is explained as possible, and against
  # probabilities that leave room for it.
  Scenario: The agents of an evacuated failure domain are left out
    Given a balancer with 12 uneven agents of rounds in 4 failure domains
    When abay is evacuated
    And the placement of a new flow is explained
    Then 3 agents are left out as evacuated
    And the probabilities add up to 1
    And 4000 real choices have the explained probabilities

  # Guards against an explanation of agents without a known service time by
  # another time than the one that the choice assumes.
  Scenario: The service time assumed under outlier detection is shown
    Given a balancer with outlier detection
    And its agents a, b, c of rounds report 0, 40, 200 ms and 10, 30, 6 flows
    When the placement of a new flow is explained
    Then agent a has a service time of 120 ms and a longer answer time
    And agent a is less likely than agent b
    And 4000 real choices have the explained probabilities

  # Guards against a reason that ignores the assumed service time.
  Scenario: The excess flows are judged by the service time that is assumed
    Given a balancer with outlier detection
    And its agents a, b, c of rounds report 0, 20, 100 ms and 10, 10, 10 flows
    When the placement of a new flow is explained
    Then agent a is left out as excess-flows
    And no opening of the flow is ever offered to agent a

  # Guards against probabilities that ignore the assumed service time.
  Scenario: The probabilities follow the service time that is assumed
    Given a balancer with 12 agents of rounds, 6 of them of unknown speed
    When the placement of a new flow is explained
    Then the probabilities add up to 1
    And 4000 real choices have the explained probabilities

  # Guards against a mean service time that explaining caches for the choice.
  Scenario: Explaining leaves the assumed service time to the choice
    Given a balancer with 400 agents of rounds, 200 of them of unknown speed
    When 50 flows are explained
    Then the balancer's state is that of a twin that was not asked
    And the balancer places 200 flows as its twin does

  # Guards against a new agent that is explained as silent or as usable.
  Scenario: An agent that has not reported yet is left out
    Given a balancer with the agents a, b, c of rounds and d of wheelbook
    When agent e of rounds is added but does not report
    And the placement of a new flow is explained
    Then agent e is left out as no-report
    And agent e has no report age, slots and load

  # Guards against reasons for the preference that differ from the real choice.
  Scenario Outline: The explanation tells why usable agents are not chosen
    Given a balancer with the agents a, b, c of rounds and d of wheelbook
    When agent a is usable but <reason>
    And the placement of a new flow is explained
    Then agent a is left out as <reason>
    And no opening of the flow is ever offered to agent a

    Examples:
      | reason         |
      | older-report   |
      | excess-flows   |
      | not-faster     |
      | local-has-room |

  # Guards against agents of a large service that are listed as possible
  # although the flow does not prefer them.
  Scenario: Agents that the flow does not prefer are not candidates
    Given a balancer with 40 agents of rounds
    When the placement of a new flow is explained
    Then 32 agents are left out as not-a-candidate

  # Guards against an explanation that follows other steps than the choice, in
  # any state: loads, ages of reports, failure domains and declining agents.
  Scenario: The real choice is among the explained upstreams in random states
    Then in 300 random states the real choice is among the explained upstreams

  # Guards against probabilities that the choice does not have.
  Scenario Outline: The probabilities are those of the real choice
    Given a balancer with <count> uneven agents of rounds in 4 failure domains
    When the placement of a new flow is explained
    Then the probabilities add up to 1
    And 4000 real choices have the explained probabilities

    Examples:
      | count |
      | 3     |
      | 12    |
      | 57    |

  # Guards against a command that changes the placement of the flows after it:
  # a draw from the random source, an offer that is counted, a cached value.
  Scenario Outline: Explaining changes no state and no later choice
    Given a balancer with <count> uneven agents of rounds in 4 failure domains
    When 50 flows are explained
    Then the balancer's state is that of a twin that was not asked
    And the balancer places 200 flows as its twin does

    Examples:
      | count |
      | 3     |
      | 60    |
      | 400   |

  # Guards against an explanation that promises a placement to a caller who
  # waits or is refused, and against the wrong reason.
  Scenario Outline: The explanation tells why a flow waits or is refused
    Given a balancer with the agents a, b, c of rounds and d of wheelbook
    When <situation>
    And the placement of a new flow is explained
    Then the flow <outcome> with the reason <reason>
    And a real opening has the event <event>

    Examples:
      | situation                              | outcome    | reason              | event  |
      | no agent of rounds takes flows         | waits      | waits-for-room      | wait   |
      | all agents are lost                    | is refused | no-upstream         | refuse |
      | no agent takes flows and the queue is full | is refused | no-upstream-in-time | refuse |
      | the route is dropped                   | is refused | no-route            | refuse |
      | all failure domains are evacuated      | is refused | evacuated           | refuse |
      | all are evacuated but some agents are unknown | waits | waits-for-room    | wait   |
      | all agents are lost or evacuated       | is refused | evacuated           | refuse |

  # Guards against a scan of all agents that the explanation does not know of.
  Scenario: The only accepting agent of a large service is found by a scan
    Given a balancer with 600 agents of rounds
    When all agents but h17 decline new flows
    And the placement of a flow that does not prefer h17 is explained
    Then the explanation names only agent h17
    And a caller that opens the flow is offered to agent h17
    When the placement of another such flow is explained
    Then the flow waits with the reason waits-for-scan
    And a real opening has the event wait

  # Guards against a list that lacks upstreams which a scan may choose.
  Scenario: A scan that finds many agents lists all of them as possible
    Given a balancer with 40 agents of rounds, none of them preferred
    When the placement of a new flow is explained
    Then all 40 agents are possible, without a probability
    And a real opening is offered to one of them

  # Guards against a service that is missing, or has the wrong share.
  Scenario: A route with several services is explained for each of them
    Given a balancer whose route leads to rounds and wheelbook at 3 to 1
    When the placement of a new flow is explained
    Then the service rounds has the share 0.75 and wheelbook 0.25
    And for wheelbook only agent d is possible

  # Guards against operators who take the explanation for that of an open flow.
  Scenario: The explanation names the agent of a flow that is known already
    Given a balancer with the agents a, b, c of rounds and d of wheelbook
    When a caller opens a flow to rounds
    And the placement of this flow is explained
    Then the explanation names the agent that was offered the flow

  # Guards against a request that ends the daemon or gets an empty answer.
  Scenario Outline: Bad arguments are rejected with one line
    Given a store with a route to rounds, 2 balancers and 2 agents of rounds
    When balancer 1 is asked for "<path>"
    Then it answers <status> with one line naming "<text>"

    Examples:
      | path                                                                   | status | text                     |
      | /explain                                                               | 400    | give caller=IP:PORT      |
      | /explain?caller=1.2.3.4:5                                              | 400    | give address=IP:PORT     |
      | /explain?caller=1.2.3.4:5&caller=1.2.3.4:6&address=198.18.0.1:8443     | 400    | give caller=IP:PORT once |
      | /explain?caller=1.2.3.4&address=198.18.0.1:8443                        | 400    | caller: '1.2.3.4' is not |
      | /explain?caller=1.2.3.4:5&address=198.18.0.1:99999                     | 400    | address: '198.18.0.1:99  |
      | /explain?caller=host:5&address=198.18.0.1:8443                         | 400    | caller: Expected 4 octets |
      | /explain?caller=%FF:5&address=198.18.0.1:8443                          | 400    | caller:                  |
      | /explain?caller=1.2.3.4:5&address=198.18.0.1:1                         | 404    | no route for 198.18.0.1:1 in |

  # Guards against a refusal that is explained before the configuration is known.
  Scenario: A balancer without a configuration says so
    Given a balancer without a configuration
    Then its explanation has status 503 and names "no configuration"

  # Guards against a placement that is explained while openings are ignored.
  Scenario: A balancer that waits for the list of evacuations says so
    Given a balancer with the agents a, b, c of rounds and d of wheelbook
    When the balancer knows no list of evacuations
    Then its explanation has status 503 and names "no list of evacuations"
    And a real opening is ignored

  # Guards against a command that prints nothing or fails on a good answer.
  Scenario: The command prints the choice
    Given a store with a route to rounds, 2 balancers and 2 agents of rounds
    When ana explains the flow "127.0.9.1:4000" at balancer 1
    Then the explanation exits with 0
    And it prints "route r8443, version 1"
    And it prints "service rounds, share 100.0%: placed"
    And it prints "agent-[12] +abay +0.0\+0 +2 +0 +30.0 +30.0 +[0-9.]+ s +100.0%"
    And it prints "agent-[12] .* not-faster"
    When ana explains the flow "127.0.9.1:4000" at balancer 1 with "--json"
    Then the explanation exits with 0
    And it prints one JSON value with the hosts agent-1, agent-2

  # Guards against an explanation that places a flow elsewhere than the daemon.
  Scenario: The command names the upstream that gets the flow
    Given a store with a route to rounds, 2 balancers and 2 agents of rounds
    When agent 1 declines new flows
    And ana explains the flow "127.0.9.1:4000" at balancer 1
    Then it prints "agent-2 .* 100.0%"
    And it prints "agent-1 .* not-accepting"
    When a caller opens a flow through balancer 1
    Then the caller gets a SYN+ACK
    And upstream 2 got the opening
    When ana explains the flow "127.0.9.1:4000" at balancer 1
    Then it prints "a flow of these addresses is known at agent-2"

  # Guards against stack traces, silent failures and the wrong exit status.
  Scenario Outline: A failure of the command is one line and an exit status
    Given a store with a route to rounds, 2 balancers and 2 agents of rounds
    When ana runs explain-flow with "<arguments>"
    Then the explanation exits with <status> and one line naming "<text>"

    Examples:
      | arguments                                        | status | text                      |
      | {balancer} 198.18.0.1:8443                       | 1      | Not enough arguments      |
      | nowhere 198.18.0.1:8443 127.0.9.1:1              | 1      | 'nowhere' is not ip:port  |
      | edge-1:80 198.18.0.1:8443 127.0.9.1:1            | 1      | Expected 4 octets         |
      | {balancer} 198.18.0.1 127.0.9.1:1                | 1      | '198.18.0.1' is not       |
      | {balancer} 198.18.0.1:8443 127.0.9.1:x           | 1      | '127.0.9.1:x' is not      |
      | {balancer} 198.18.0.1:1 127.0.9.1:1              | 1      | no route for 198.18.0.1:1 |
      | {closed} 198.18.0.1:8443 127.0.9.1:1             | 2      | connection refused        |
      | {store} 198.18.0.1:8443 127.0.9.1:1              | 2      | explain flow              |
