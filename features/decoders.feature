Feature: Every decoder of the forwarding path returns a value or raises its error

  # Each scenario decodes any bytes, any JSON or msgpack, and valid input with one
  # value changed.  What is decoded is then used, as a value that a later step
  # refuses ends a daemon as well.

  # Guards against a call of an upstream that ends an agent or stops its timer.
  Scenario: Calls of an upstream
    Then 300 calls of an upstream are reported or raise WireError

  # Guards against a path that is taken for another one.
  Scenario: Paths of calls
    Then 200 paths of calls name one upstream or raise WireError

  # Guards against a configuration that ends all balancers.
  Scenario: Configurations
    Then 400 configurations are told to agents and peers or raise ObjectError

  # Guards against a record that ends all balancers, or the state for their peers.
  Scenario: Agents' records
    Then 200 agents' records are told to peers or raise ObjectError

  # Guards against a response of the store that ends a balancer.
  Scenario: Responses of the store
    Then 250 responses of the store are listed and watched or raise PlatformError

  # Guards against the name of an object that forges log lines.
  Scenario: Names of evacuated failure domains
    Then 200 names of failure domains can be printed or raise ValueError

  # Guards against a datagram that ends a balancer or an agent.
  Scenario: Segments
    Then 200 segments are forwarded by both daemons or raise WireError

  # Guards against the same by the messages between them.
  Scenario: Messages between daemons
    Then 700 messages are applied by both daemons or raise WireError

  # Guards against the state of a peer that ends a starting balancer.
  Scenario: States of peers
    Then 400 states of peers are applied or raise WireError

  # Guards against settings that fail only in the running daemon.
  Scenario: Settings
    Then 300 settings of each role and limits of hedges load or raise SettingsError

  # Guards against a question of an operator that raises an error.
  Scenario: Questions where a flow would be placed
    Then 200 questions where a flow would be placed get a response
