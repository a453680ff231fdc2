Feature: The event loop of the tests has a paused clock
  Tests on real sockets move the clock themselves, so that no verdict depends on
  the speed of the machine.

  # Guards against timeouts of work that a thread has not finished: the resolver
  # of tornado's HTTP client is a thread, and the clock ran 20 s ahead of it.
  Scenario: No time passes during a call in a thread
    When a call in a thread is awaited with a timeout of 0.2 s
    Then it ends without a timeout
