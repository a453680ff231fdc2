Feature: The commands that the documentation shows exist

  # Guards against pages that show a command, an option or an argument that was
  # renamed or removed.
  Scenario Outline: Each command shown in a page has its options and arguments
    When the commands shown in <page> are read
    Then there are at least <count> of them
    And each exists with the options and arguments shown

    Examples:
      | page               | count |
      | README.md          | 2     |
      | docs/OPERATIONS.md | 4     |
