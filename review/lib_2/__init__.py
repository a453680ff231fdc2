"""Stand-ins of the second review: store, router, endpoints and consumers."""
