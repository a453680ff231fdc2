"""Token bucket that limits extra work to a share of the openings."""

# Largest amount of extra work beyond the share, so that a burst after a quiet
# time stays small.
MAX_TOKENS = 10
# Tokens are counted in parts, as sums of floats drift.
TOKEN_PARTS = 10**9


class TokenBucket:
    """Limit of extra work as a share of the openings; starts full.

    Attributes:
        parts: Contents, ``TOKEN_PARTS`` for each token.
    """

    __slots__ = ("_parts_per_opening", "parts")

    def __init__(self, share: float) -> None:
        """Creates a full bucket.

        Args:
            share: Tokens that each opening adds, 0 or more.
        """
        self._parts_per_opening = round(share * TOKEN_PARTS)
        self.parts = MAX_TOKENS * TOKEN_PARTS

    def add_opening(self) -> None:
        """Adds the tokens of one opening."""
        self._add(self._parts_per_opening)

    def has_token(self) -> bool:
        """Returns True if a token may be taken."""
        return self.parts >= TOKEN_PARTS

    def take(self) -> bool:
        """Takes a token; returns False if there is none."""
        if not self.has_token():
            return False
        self.parts -= TOKEN_PARTS
        return True

    def give_back(self) -> None:
        """Returns a taken token, as there was no extra work."""
        self._add(TOKEN_PARTS)

    def _add(self, parts: int) -> None:
        self.parts = min(MAX_TOKENS * TOKEN_PARTS, self.parts + parts)
