Feature: Admission by class, caller and capacity

  Background:
    Given a load upstream with 4 slots

  # Guards against bulk work taking the slots kept for urgent work.
  Scenario: A reserve stays free for its class
    When 8 load "logs" are offered
    Then 3 load requests run
    And a load "orders" runs at once

  # Guards against urgent work that starves the other classes forever.
  Scenario: A minimum share survives a flood of urgent work
    When load "orders" flood it for 60 s with 8 "logs" waiting
    Then load "logs" got from 0.03 to 0.15 of the slot time

  # Guards against urgent work waiting behind bulk work.
  Scenario: The most urgent class starts first
    When 12 load "logs" are offered
    And 12 load "orders" are offered
    Then the next load request that starts is one of "orders"

  # Guards against queueing requests that are certain to miss their deadline.
  Scenario: Work that cannot meet its deadline is refused at once
    When load "orders" that take 2 s keep it full
    Then a load "orders" with a deadline of 0.1 s is refused for "deadline"
    And the refusal carries a time to retry

  # Guards against long flows that use up the slots of requests.
  Scenario: Long flows hold connections, not slots
    When 50 load "feeds" are offered
    Then a load "orders" runs at once

  # Guards against one caller that takes all connections.
  Scenario: One caller cannot hold all connections
    When 100 load "feeds" of one caller are offered
    Then a load "feeds" of another caller runs
    And no more load "feeds" of the first caller run

  # Guards against one caller's flood delaying the requests of other callers.
  Scenario: A caller with little usage goes before one that floods
    When 40 load "orders" of one caller are offered
    And a load "orders" of another caller is offered
    Then the next load request that starts is of that other caller

  # Guards against overload of an upstream that has just started.
  Scenario: A cold upstream gets no more than its warm-up allows
    When it warms up for 20 s under a flood of load "orders"
    Then at each start it used no more slot time than the warm-up allows

  # Guards against delaying requests to batch them when there is little traffic.
  Scenario: With little traffic each request starts at once
    When a load "logs" comes each minute for 30 minutes
    Then each of them ran at once

  Scenario Outline: The queue discipline decides who starts first
    # Guards against a preset whose discipline is ignored.
    Given a load class with the discipline "<discipline>"
    When three load requests wait
    Then the load request "<first>" starts first

    Examples:
      | discipline | first |
      | fifo       | a     |
      | lifo       | c     |
      | deadline   | b     |

