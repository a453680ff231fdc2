"""Library for callers that open resumable flows."""
