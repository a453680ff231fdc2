"""Client of the object API, and its stand-in for tests."""
