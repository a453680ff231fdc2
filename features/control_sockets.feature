Feature: Control sockets are authenticated and limited

  Scenario Outline: Bad input is refused and counted
    Given a daemon with a control socket
    When it receives a message that is <bad>
    Then it counts one refusal as "<count>" and its state is unchanged

    Examples:
      | bad                        | count     |
      | under another key          | wrong_tag |
      | shorter than a tag         | wrong_tag |
      | not msgpack                | malformed |
      | of an unknown kind         | malformed |
      | of another version         | malformed |
      | a compression bomb         | malformed |
      | larger than the limit      | oversized |

  Scenario: A change reaches six balancers
    Given 6 balancers with control sockets and an object API
    When a preset is written to the object API
    Then it is in force on all 6 within 1 second

  Scenario: A drain reaches six balancers with the object API down
    Given 6 balancers with control sockets and an object API
    When the object API stops answering and an agent drains
    Then all 6 show the override within 2 seconds

  Scenario: An announced upstream reaches six balancers through the object API
    Given 6 balancers with control sockets and the test server
    When an agent announces a ready upstream
    Then all 6 know it as ready within 5 seconds
    And the object API lists it once, written by a watcher

  Scenario: Connections to peers are limited
    Given a daemon with a control socket
    When it sends to 100 peers
    Then it holds at most 32 connections
