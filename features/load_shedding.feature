Feature: A balancer sheds only what the holders would refuse

  # Guards against shedding a class that no holder refuses.
  Scenario: Only the refused class is shed
    Given a load shedder whose holders accept 100 "logs" a second
    When 1000 load "logs" and 50 "orders" a second come for 10 s
    Then no load "orders" are shed
    And from 95 to 125 load "logs" a second are sent on

  # Guards against oscillation between shedding everything and nothing.
  Scenario: Shedding is steady
    Given a load shedder whose holders accept 100 "logs" a second
    When 1000 load "logs" and 50 "orders" a second come for 10 s
    Then each second sends from 80 to 150 load "logs" on

  # Guards against shedding that continues after the overload.
  Scenario: Shedding ends with the overload
    Given a load shedder whose holders accept 100 "logs" a second
    When 1000 load "logs" and 50 "orders" a second come for 10 s
    And 80 load "logs" and 50 "orders" a second come for 5 s
    Then no load "logs" are shed in the last 2 s

  # Guards against shedding a class with little traffic after one refusal.
  Scenario: A class with little traffic is never shed
    Given a load shedder whose holders accept 0 "logs" a second
    When one load "logs" comes each minute for an hour
    Then all of the load "logs" are sent on

  # Guards against shedding the requests of one caller for another's flood.
  Scenario: Shedding is fair between callers
    Given a load shedder whose holders accept 100 "logs" a second
    When one caller sends 1000 load "logs" a second and another 20
    Then at least 0.95 of the other caller's load "logs" are sent on
