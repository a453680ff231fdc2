Feature: A follower delivers the objects of the store despite failures

  # Guards against fault CONFIG: the store dropped its history after the
  # connection broke, and a watch from the old revision missed a change.
  Scenario: After a watch has failed all objects are listed
    Given a store with the object main at 1 that is followed
    When the watch is cut and main changes to 2 unseen
    Then main is delivered at 2

  # Guards against objects that are kept after their deletion was missed.
  Scenario: After the store dropped its history a full list is delivered
    Given a store with the object main at 1 that is followed
    When the store drops its history and main changes to 2 unseen
    Then main is delivered at 2
    And the last delivery was a full list

  # Guards against a stop after a failure, and against retries without backoff.
  Scenario: While the store fails calls are retried at a limited rate
    Given a store with the object main at 1 that is followed
    When the store fails for 10 s
    Then it was called between 8 and 40 times
    When the store is back
    Then main is delivered at 1

  # Guards against changes that are delivered only by a list.
  Scenario: A change is delivered by the watch
    Given a store with the object main at 1 that is followed
    When main changes to 3
    Then main is delivered at 3
    And 1 list was read

  # Guards against a call for each change: a service that is replaced changes
  # two objects for each upstream, and every balancer follows them.
  Scenario: A series of changes takes few calls
    Given a store with the object main at 1 that is followed
    When main changes 10 times in 1.5 s
    Then main is delivered at 11
    And the store was called at most 3 times
