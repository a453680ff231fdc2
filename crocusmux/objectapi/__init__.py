"""Client of the object API, and an in-memory server of it for tests."""
