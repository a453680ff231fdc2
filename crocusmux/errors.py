"""Exceptions of crocusmux.

Each carries the failed step and the peer, so that a single log line tells an
operator where to look.
"""


class CrocusmuxError(Exception):
    """Base of all errors that crocusmux raises.

    Attributes:
        reason: Cause of the error, in one line.
        step: The operation that failed, such as ``"decode packet"``.
        peer: Address, file, object or host concerned; ``"-"`` if none.
    """

    def __init__(self, reason: str, *, step: str, peer: str = "-") -> None:
        super().__init__(reason)
        self.reason = reason
        self.step = step
        self.peer = peer

    def __str__(self) -> str:
        return f"{self.step}: {self.peer}: {self.reason}"


class UserError(CrocusmuxError):
    """An error that the user of a command can correct."""


class SettingsError(UserError):
    """A settings file is missing, malformed or inconsistent."""


class ObjectError(UserError):
    """A configuration object (service, preset, membership) is invalid."""


class WireError(CrocusmuxError):
    """A message from a peer is malformed, too large or not authentic."""


class PlatformError(CrocusmuxError):
    """A call to the object API failed."""


class PlatformUnavailableError(PlatformError):
    """The object API did not reply in time or refused the connection."""


class RateLimitedError(PlatformError):
    """The object API rejected the call because its rate limit is reached."""


class ConflictError(PlatformError):
    """The object of a conditional write has another version than expected."""


class NotFoundError(PlatformError):
    """The object does not exist in the object API."""


class WriteUnknownError(PlatformError):
    """The reply to a write was lost, and its outcome could not be found out."""


class FlowError(CrocusmuxError):
    """A flow ended without a complete response."""


class RefusedNotRunError(FlowError):
    """The request was refused; no upstream ran it or will run it."""


class OutcomeUnknownError(FlowError):
    """The flow broke after an upstream may have run the request."""
