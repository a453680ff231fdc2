Feature: Control traffic does not grow with the fleet

  # Guards against control traffic above the stated 7 KB/s of a daemon: reports,
  # subscriptions, and the news of 4,900 new configurations a day.
  Scenario Outline: The control traffic of a daemon keeps to its limit
    Given a fleet of <balancers> balancers and <agents> agents in <domains> failure domains
    When its daemons exchange control messages for 120 s
    Then a balancer and an agent each send and receive at most 7000 bytes a second

    Examples:
      | balancers | agents | domains |
      | 9         | 21     | 5       |
      | 30        | 70     | 5       |
      | 91        | 213    | 5       |
      | 100       | 1200   | 4       |

  # Guards against an upgrade in which daemons of two versions do not understand
  # each other's reports: balancers say which form they can decode.
  Scenario Outline: An agent reports in the form that the balancer can decode
    Given an agent of rounds whose upstream is ready
    When a balancer that decodes <form> reports subscribes
    Then it gets a <form> report of that agent

    Examples:
      | form    |
      | full    |
      | compact |

  # Guards against load, state or configuration news lost in the shorter form.
  Scenario: A compact report tells a balancer as much as a full one
    Given a balancer with the agents a, b, c of rounds and d of wheelbook
    When agent a sends a compact report of version 9 at load 1.25
    Then the balancer knows agent a as by the full report

  # Guards against fault ROUTE: a host's address is used again by an agent of
  # another service.
  Scenario: A compact report of another service is ignored
    Given a balancer with the agents a, b, c of rounds and d of wheelbook
    When agent a sends a compact report of wheelbook
    Then the balancer knows agent a as before

  # Guards against a message to every agent of a large fleet at each of thousands
  # of new configurations a day.
  Scenario Outline: A new configuration is told to a few agents at once
    Given a balancer with <count> agents of rounds
    When it gets a new configuration
    Then <told> agents are told of it

    Examples:
      | count | told |
      | 10    | 10   |
      | 1000  | 16   |
