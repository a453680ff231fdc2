"""Command line of crocusmux."""
