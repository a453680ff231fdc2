Feature: Placement relies on results more than on load reports

  # Guards against work piling up at an upstream that never answers.
  Scenario: An upstream that reports idle while it is stuck is ejected
    Given a load placement over 4 upstreams
    When 200 load requests come, while u1 "never answers" and reports idle
    Then u1 gets at most 12 of the last 100 load requests
    And u1 gets no load request even when the others report 20 waiting

  # Guards against fast errors that look like a fast, idle upstream.
  Scenario: An upstream that fails fast is ejected
    Given a load placement over 4 upstreams
    When 200 load requests come, while u1 "fails" and reports idle
    Then u1 gets at most 3 of the last 100 load requests

  # Guards against relying on a ready report that results contradict.
  Scenario: An upstream that reports healthy and refuses is ejected
    Given a load placement over 4 upstreams
    When 200 load requests come, while u1 "refuses" and reports idle
    Then u1 gets at most 3 of the last 100 load requests

  # Guards against ejecting an upstream that is slow for one class only.
  Scenario: A class that is slow at one upstream avoids it, others do not
    Given a load placement over 4 upstreams
    When 200 load requests come, while u1 "is slow" and reports idle
    Then u1 gets at most 3 of the last 100 load requests
    And u1 still gets load requests of another class

  # Guards against ejecting an upstream that only one balancer cannot reach.
  Scenario: A path that fails for one balancer is avoided by it alone
    Given a load placement over 4 upstreams
    When 400 load requests come from b0 and b1, and u1 fails through b0
    Then of the last 100 load requests u1 gets some through b1
    And of the last 100 load requests u1 gets at most 2 through b0

  # Guards against moving all load to upstreams that cannot serve it.
  Scenario: No more than a third of a service is ejected
    Given a load placement over 5 upstreams
    When 600 load requests come, while u0 and u1 fail
    Then one of u0 and u1 still gets load requests

  # Guards against refusing all work because most reports say "not ready".
  Scenario: When too few upstreams look healthy, all are used
    Given a load placement over 4 upstreams
    When u0, u1 and u2 report that they are not ready
    Then 100 load requests go to all 4 upstreams with the reason "panic"

  # Guards against a herd: all requests placed at the upstream last reported idle.
  Scenario: Own placements are added to an old load report
    Given a load placement over 4 upstreams
    When all report idle and 8 load requests come before the next report
    Then each load upstream gets 2 of them

  # Guards against using a large part of a little traffic for probes.
  Scenario: With little traffic an ejected upstream is rarely probed
    Given a load placement over 4 upstreams
    When 200 load requests come, while u1 "fails" and reports idle
    And 15 more load requests come one a minute
    Then at most 1 of those load requests went to u1
