"""Admission, placement and shedding of work."""
