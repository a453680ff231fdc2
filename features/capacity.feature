Feature: The capacity page agrees with its formulas

  # Fails when a table is edited by hand or a formula changes without the page.
  Scenario: The page's tables are computed from the stored slopes
    Given the stored slopes and the capacity page
    Then rewriting the page changes nothing

  # Fails when new figures cross a bound and the page still says otherwise.
  Scenario: Each bound is met or not met as the page says
    Given the stored slopes and the capacity page
    Then each figure is on the side of its bound that the page claims
    And the page's table of bounds contains the claim

  # The error of a slope can't be estimated from fewer than three points.
  Scenario: Each slope is fitted to at least three points and has an error
    Given the stored slopes and the capacity page
    Then each slope is the line through its three or more points
