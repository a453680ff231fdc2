Feature: Metrics of the forwarding daemons

  # Guards against histogram buckets that are not cumulative.
  Scenario: Counters and histograms are in Prometheus's text format
    Given metrics that counted place 3 times and refuse once
    And that observed openings placed after 1, 40 and 9000 ms
    Then their text says
      | line                                                  |
      | crocusmux_events_total{what="place"} 3.0              |
      | crocusmux_events_total{what="refuse"} 1.0             |
      | crocusmux_opening_placed_seconds_bucket{le="0.002"} 1.0 |
      | crocusmux_opening_placed_seconds_bucket{le="0.05"} 2.0 |
      | crocusmux_opening_placed_seconds_bucket{le="5.0"} 2.0 |
      | crocusmux_opening_placed_seconds_bucket{le="+Inf"} 3.0 |
      | crocusmux_opening_placed_seconds_count 3.0            |
      | crocusmux_opening_placed_seconds_sum 9.041            |
      | crocusmux_request_answered_seconds_count 0.0          |
