Feature: The preset examples are valid

  # Guards against documentation that no longer matches the stored objects.
  Scenario: All examples in docs/presets.md decode and every field is named
    Then docs/presets.md holds 6 valid load presets that name every field
