Feature: A flow is explained from saved logs

  # Guards against a failure that cannot be explained afterwards.
  Scenario: The lines of a flow and the state changes of its hosts are in order
    Given saved logs of two balancers and an agent
    When ana traces the flow "100.64.0.4:1026"
    Then she sees these lines in order:
      | host   | event           |
      | edge-1 | place           |
      | edge-1 | evacuate        |
      | side-1 | upstream-silent |
      | edge-1 | agent-state     |
      | edge-1 | declined        |
      | edge-2 | ask             |
      | edge-2 | flow-lost       |
    And the last line says "reset: denied-by-all (edge-2)"

  # Guards against lines of other flows and hosts that hide the cause.
  Scenario: Lines that do not concern the flow are omitted
    Given saved logs of two balancers and an agent
    When ana traces the flow "100.64.0.5:2000"
    Then she sees these lines in order:
      | host   | event  |
      | edge-2 | refuse |
    And the last line says "refused and no request of it has run: no-route"

  # Guards against empty output for a flow without log lines.
  Scenario: An unknown flow is an error
    Given saved logs of two balancers and an agent
    When ana traces the flow "100.64.9.9:1"
    Then the trace exits with 1 and names "no log line names this flow"

  # Guards against a traceback for a mistyped file name.
  Scenario: A file that cannot be read is an error
    When ana traces a flow in a file that does not exist
    Then the trace exits with 1 and names "cannot read"
