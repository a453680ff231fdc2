Feature: The forwarding daemons start

  # Guards against a reload of the settings that ends a daemon which is starting:
  # until its event loop runs, SIGHUP ended the process.
  Scenario: A SIGHUP during the imports is ignored
    When a daemon without a role gets SIGHUP before each import
    Then it ends with status 1 and the error "give one of balancer, agent"

  # Guards against the same while the settings are read.
  Scenario: A SIGHUP while the settings are read is ignored
    When a balancer gets SIGHUP while it reads the settings of an agent
    Then it ends with status 1 and the error "settings are for agent, not balancer"
