Feature: Settings are validated when they are loaded

  Scenario Outline: The error of an invalid file names file, key and problem
    Given a settings file with "<text>"
    When the settings are loaded
    Then the error names the file and "<problem>"

    Examples:
      | text                        | problem                      |
      | role: proxy                 | $.role                       |
      | hots: a                     | hots                         |
      | [a, b]                      | top level is not a mapping   |
      | host: {                     | line 2                       |
      | host: ''                    | host: must not be empty      |
      | udp: nowhere                | udp: 'nowhere' is not ip     |
      | key: abc                    | key: must have 32 to 128     |
      | otlp_url: 10.0.0.9          | otlp_url: must be empty or   |

  Scenario: The default file contains every key
    Then default.yaml holds exactly the keys of the settings
