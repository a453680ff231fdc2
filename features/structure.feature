Feature: The code keeps the structure that the design pages describe

  # Guards against a core that can only be tested with real sockets or time.
  Scenario: Decision cores import no I/O, timer or event loop module
    Then no module that crocusmux.core imports, directly or not, does I/O

  # The module before each name shows where the name is defined.
  Scenario: Modules are imported, not names
    Then every import of the package names a module

  # Guards against a slow start on hosts with a third of a core: importing the
  # library took a third of the start, and all hosts may restart at once.
  Scenario: The forwarding daemons start without the library for metrics
    Then the forwarding daemons import no prometheus_client

  # Guards against a call to the store whose cost and late effect nobody has
  # considered: calls are billed, rate-limited, and may be applied late or twice.
  Scenario: The design page lists each call to the store
    Then the calls to the store by the forwarding daemons are those of the page
