Feature: Objects of the store are followed through its failures

  # Guards against CONFIG: the store dropped its history while the watch was
  # cut, and a watch from the old revision waited for the next change.
  Scenario: After a watch was cut everything is listed
    Given a store with the object main at 1 that is followed
    When the watch is cut and main changes to 2 unseen
    Then main is delivered at 2

  # Guards against objects that stay known after their deletion was missed.
  Scenario: After the history is gone a full list is delivered
    Given a store with the object main at 1 that is followed
    When the store drops its history and main changes to 2 unseen
    Then main is delivered at 2
    And the last delivery was a full list

  # Guards against a stop at the first failure, and against busy retries.
  Scenario: While the store fails it is asked again at a bounded rate
    Given a store with the object main at 1 that is followed
    When the store fails for 10 s
    Then it was called between 8 and 40 times
    When the store is back
    Then main is delivered at 1

  # Guards against changes that arrive only with a list.
  Scenario: A change is delivered by the watch
    Given a store with the object main at 1 that is followed
    When main changes to 3
    Then main is delivered at 3
    And 1 list was read

  # Guards against a call for each change: a service that is replaced changes
  # two objects for each upstream, and every balancer follows them.
  Scenario: Changes in series take few calls
    Given a store with the object main at 1 that is followed
    When main changes 10 times in 1.5 s
    Then main is delivered at 11
    And the store was called at most 3 times
