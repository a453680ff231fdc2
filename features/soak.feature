Feature: The forwarding daemons keep their rules under injected faults
  The soak test runs them as processes (docs/developers.md).

  # Guards against faults that only real processes, sockets and kills show, such
  # as a reset of an open flow by a balancer that has just started.  In the second
  # run hosts leave for good and all lose power, without hedging and the contract
  # health.  The runs go on side by side to save time.
  Scenario: Runs of 10 s and 6 s break no rule
    When the soak test starts for 10 s with seed 186 and plan version 1
    And the soak test starts for 6 s with seed 45171 and plan version 2
    Then the run with seed 186 ends with status 0
    And it has injected 13 faults and seen at least 300 requests
    And the run with seed 45171 ends with status 0
    And it has injected 4 faults and seen at least 150 requests
    And at least 20 callers got a reset of a lost flow

  # Guards against a test whose own failure looks like a broken rule or a success.
  Scenario Outline: The exit status tells <case> apart
    When <case> ends a run of the soak test
    Then its exit status is <status>

    Examples:
      | case             | status |
      | success          | 0      |
      | a broken rule    | 1      |
      | its own failure  | 2      |
      | its own late one | 2      |

  # Guards against a failing seed that cannot be repeated.
  Scenario: A seed determines the faults
    Then two plans of 60 s with seed 7 are the same
    And plans of 60 s with seeds 7 and 8 differ
    And in plans of 60 s all faults end within 60 s, one at a time on a host

  # Guards against a known case whose seed stands for another series of faults.
  Scenario Outline: The plan of known case <seed> stays the same
    Then the plan of <seconds> s with seed <seed> and version 1 has checksum <sum>

    Examples:
      | seed | seconds | sum        |
      | 3    | 10      | 3892244152 |
      | 6    | 30      | 3792016682 |
      | 8    | 30      | 2295355038 |
      | 186  | 10      | 2932320349 |

  # Guards against cases that the command cannot run, or runs by another plan.
  Scenario: The known cases name the versions of their plans
    Then the known cases 3, 6 and 8 have plan version 1

  # Guards against faults that are listed but never injected.
  Scenario: The plans contain all faults
    Then among plans of 30 s with seeds 301 to 312 there is each kind of fault
    And in plans of 60 s removed hosts get no further fault, and new ones do
    And in plans of 60 s each service keeps at least 2 upstreams
    And in plans of 60 s no host has a fault at a loss of power, and only pairs leave for 9 s

  # Guards against options that no seed, or each seed, has.
  Scenario: Half of the seeds have each option
    Then of seeds 301 to 312 the daemons hedge in 6, name health in 6, and do both in 3

  # Guards against a soak test that passes because it checks nothing.
  Scenario Outline: The soak test reports <what>
    Given a checker of the soak test with a route that leads to rounds
    When <what> is observed
    Then the checker reports <rule>

    Examples:
      | what                                            | rule                       |
      | a reset of an open flow                         | open-flow-reset            |
      | a reset of a flow that nobody holds             | nothing                    |
      | a reset of a flow after its route was dropped   | nothing                    |
      | a reset of a flow whose route was dropped for 2 s | nothing                  |
      | a reset of a flow that began after that         | open-flow-reset            |
      | a reset while the agent was away for 3 s        | nothing                    |
      | a reset while the agent was away for 2 s        | open-flow-reset            |
      | a booking that runs at two upstreams            | request-runs-twice         |
      | a repeatable request that runs at two upstreams | nothing                    |
      | a request that runs after a refusal             | run-after-refusal          |
      | a refusal after a request ran                   | run-after-refusal          |
      | an opening at an upstream of calidad            | opening-of-other-service   |
      | an opening at rounds 6 s after a move           | opening-of-other-service   |
      | an opening at rounds 4 s after a move           | nothing                    |
      | an opening at rounds 6 s after a move, cut off  | nothing                    |
      | an opening 6 s after an evacuation              | opening-of-evacuated-domain |
      | an opening 4 s after an evacuation              | nothing                    |
      | an old configuration after 6 s                  | configuration-in-force     |
      | an old configuration after 4 s                  | nothing                    |
      | a daemon that ends                              | daemon-ended               |
      | a lost flow that waits for 7 s                  | lost-flow-reset-late       |
      | a lost flow that waits for 5 s                  | nothing                    |
      | a flow that is held and waits for 7 s           | nothing                    |
      | a lost flow whose caller sends nothing for 7 s  | nothing                    |
      | a lost flow that is reset after 5 s             | nothing                    |
      | a lost flow 7 s after an agent was removed      | lost-flow-reset-late       |
      | a lost flow 7 s after a new agent appeared      | lost-flow-reset-late       |
      | a lost flow while a new agent starts for 2 s    | lost-flow-reset-late       |
      | a lost flow 5 s after an agent came back        | nothing                    |
      | a lost flow 7 s after an agent came back        | lost-flow-reset-late       |
      | a lost flow 5 s after an upstream came back     | nothing                    |
      | a lost flow 7 s after an upstream came back     | lost-flow-reset-late       |
      | a lost flow 5 s after a host was lost           | nothing                    |
      | a lost flow 7 s after a host was lost           | lost-flow-reset-late       |
      | a lost flow 5 s after its balancer came back    | nothing                    |
      | a lost flow 7 s after its balancer came back    | lost-flow-reset-late       |
      | a lost flow 5 s after it moved to a balancer    | nothing                    |
      | a lost flow 5 s after packets were dropped      | nothing                    |
      | a lost flow 7 s after packets were dropped      | lost-flow-reset-late       |
      | a lost flow 5 s after the store came back       | nothing                    |
      | a lost flow while an agent is away              | nothing                    |
      | a lost flow 5 s after an agent of wheelbook came back | lost-flow-reset-late |
