"""Decisions of one call to the platform: retry, give up, settle a write.

A write's answer can be lost after the write took effect.  Every value is
therefore stored in an envelope with the unique id of the write that made it
and the ids of the writes before it.  A write without an answer is settled by
reading the object back, through any base URL, as all of them show the same
objects.  It is sent again only under the same condition on a version that is
still current, so at most one copy ever takes effect.
"""

from collections.abc import Sequence
import random
from typing import Literal

import msgspec

from crocusmux import errors

# First and longest backoff.  The cap keeps a daemon at one call in 2 s or
# so during an outage and lets it return within the 13 s of the target.
BACKOFF_FIRST_S = 0.05
BACKOFF_MAX_S = 4.0
# Longest wait between two reads that settle a lost answer: about ten reads
# within the client's deadline for a write.
SETTLE_MAX_S = 1.0
# A fresh call earns a fifth of a retry, so retries stay below a fifth of
# the calls in a long outage; a process starts with a full budget.
RETRY_EARNED = 0.2
RETRY_BUDGET = 10.0
# Consecutive failures that open the circuit breaker of one base URL.
BREAKER_FAILURES = 5
BREAKER_FIRST_S = 1.0
BREAKER_MAX_S = 15.0
# The probe of a half-open breaker is taken as lost after this time.
PROBE_S = 3.0
# Earlier writes listed in an envelope, about 100 bytes each.  A lost write
# can be settled until so many others have followed it.
MAX_RECENT = 16

OBJECTS_PATH = "/v1/objects/"
NO_RESPONSE = 0
OK = 200
NOT_FOUND = 404
CONFLICT = 409
GONE = 410
TOO_MANY_REQUESTS = 429
SERVER_ERROR = 500


# ``omit_defaults`` leaves this very instance out of the encoded envelope.
NO_OBJECT = msgspec.Raw(b"")


class PastWrite(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """An earlier write of an object.

    Attributes:
        version: Version that it made.
        operation: Its operation id.
        writer: Who wrote it.
        at: Wall-clock time of the writer as text, for people only.
        object: The object then, or ``NO_OBJECT`` if it was not kept.
    """

    version: int
    operation: str
    writer: str = ""
    at: str = ""
    object: msgspec.Raw = NO_OBJECT


class ObjectEnvelope(
    msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True
):
    """What the platform stores for one object.

    Attributes:
        operation: Unique id of the write that made this version.
        object: The object as JSON.
        writer: Who wrote it.
        at: Wall-clock time of the writer as text, for people only.
        recent: Earlier writes without a gap, newest first.
    """

    operation: str
    object: msgspec.Raw
    writer: str = ""
    at: str = ""
    recent: tuple[PastWrite, ...] = ()


class Item(msgspec.Struct, frozen=True, kw_only=True):
    """An object as the platform's API returns it."""

    key: str
    version: int
    value: ObjectEnvelope


class Request(msgspec.Struct, frozen=True):
    """An HTTP request, relative to a base URL."""

    method: str
    path: str
    body: bytes | None = None


class Response(msgspec.Struct, frozen=True, kw_only=True):
    """The answer to a request, or why there is none.

    Attributes:
        status: HTTP status; ``NO_RESPONSE`` if there is none.
        body: Body of the answer.
        sent: False if the request certainly never left this process.
        retry_after_s: Wait that the platform asks for, seconds.
        reason: Why there is no answer.
    """

    status: int = NO_RESPONSE
    body: bytes = b""
    sent: bool = True
    retry_after_s: float = 0.0
    reason: str = ""


class Send(msgspec.Struct, frozen=True):
    """Send a request to a base URL and report its answer."""

    base: int
    request: Request
    timeout_s: float


class Wait(msgspec.Struct, frozen=True):
    """Wait so many seconds, then call ``on_timer``."""

    seconds: float


class Done(msgspec.Struct, frozen=True):
    """The call ended; ``version`` is the one that a write made."""

    response: Response
    version: int = 0


class Failed(msgspec.Struct, frozen=True):
    """The call ended with an error."""

    error: errors.PlatformError


Action = Send | Wait | Done | Failed


def backoff_s(attempt: int, rng: random.Random) -> float:
    """Returns the wait before retry ``attempt`` (0 first), with jitter."""
    longest = min(BACKOFF_MAX_S, BACKOFF_FIRST_S * 2 ** min(attempt, 20))
    return rng.uniform(longest / 2, longest)


class Breaker:
    """Circuit breaker of one base URL; half-open it lets one probe pass."""

    __slots__ = ("_failures", "_open_s", "_rng", "_until")

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._failures = 0
        self._open_s = BREAKER_FIRST_S
        self._until = 0.0

    def allow(self, now: float) -> bool:
        """Returns True if a call may be sent now."""
        if self._failures < BREAKER_FAILURES:
            return True
        if now < self._until:
            return False
        self._until = now + PROBE_S
        return True

    def report(self, now: float, ok: bool) -> None:
        """Takes the result of a call."""
        if ok:
            self._failures, self._open_s = 0, BREAKER_FIRST_S
            return
        self._failures += 1
        if self._failures >= BREAKER_FAILURES:
            self._until = now + self._open_s * self._rng.uniform(0.5, 1.0)
            self._open_s = min(BREAKER_MAX_S, self._open_s * 2)


class BaseUrls:
    """Base URLs of the platform, with their breakers and retry budget.

    Attributes:
        names: The base URLs.
        preferred: Index of the one to try first.
        rng: Random numbers for jitter.
    """

    __slots__ = ("_breakers", "_budget", "preferred", "rng", "urls")

    def __init__(self, names: Sequence[str], rng: random.Random) -> None:
        self.urls = tuple(names)
        self.rng = rng
        self._breakers = [Breaker(rng) for _ in names]
        self._budget = RETRY_BUDGET
        self.preferred = 0

    def pick(self, now: float) -> int | None:
        """Returns the base URL to use; None while all breakers are open."""
        count = len(self._breakers)
        for step in range(count):
            base = (self.preferred + step) % count
            if self._breakers[base].allow(now):
                return base
        return None

    def report(self, now: float, base: int, ok: bool) -> None:
        """Takes the result of a call; a failure moves on to the next URL."""
        self._breakers[base].report(now, ok)
        if ok:
            self.preferred = base
        elif base == self.preferred:
            self.preferred = (base + 1) % len(self._breakers)

    def add_retry_credit(self) -> None:
        """Counts a fresh call."""
        self._budget = min(RETRY_BUDGET, self._budget + RETRY_EARNED)

    def take_retry(self) -> bool:
        """Returns True if the budget allows one more retry."""
        if self._budget < 1:
            return False
        self._budget -= 1
        return True


class ReadCall:
    """One read: retried within its deadline and the retry budget."""

    def __init__(
        self,
        bases: BaseUrls,
        request: Request,
        deadline: float,
        attempt_s: float,
    ) -> None:
        self._bases = bases
        self._request = request
        self._deadline = deadline
        self._attempt_s = attempt_s
        self._attempts = 0
        self._base = 0
        self._error: errors.PlatformError | None = None

    def start(self, now: float) -> Action:
        """Starts the call."""
        self._bases.add_retry_credit()
        return self.on_timer(now)

    def on_timer(self, now: float) -> Action:
        """Sends the request, or fails if no base URL may be called."""
        base = self._bases.pick(now)
        if base is None:
            return Failed(self._error or self._unavailable("breaker is open"))
        if now >= self._deadline:
            return Failed(self._error or self._unavailable("deadline passed"))
        self._base = base
        left = self._deadline - now
        return Send(base, self._request, min(left, self._attempt_s))

    def on_response(self, now: float, answer: Response) -> Action:
        """Takes the answer to the request last sent."""
        ok = NO_RESPONSE < answer.status < SERVER_ERROR
        self._bases.report(now, self._base, ok)
        if ok and answer.status != TOO_MANY_REQUESTS:
            return Done(answer)
        self._error = response_error(answer, self._request, self._where())
        wait = backoff_s(self._attempts, self._bases.rng)
        wait = max(wait, answer.retry_after_s)
        self._attempts += 1
        if now + wait >= self._deadline or not self._bases.take_retry():
            return Failed(self._error)
        return Wait(wait)

    def _where(self) -> str:
        return self._bases.urls[self._base]

    def _unavailable(self, reason: str) -> errors.PlatformError:
        return errors.PlatformUnavailableError(
            reason,
            step=f"{self._request.method} {self._request.path}",
            peer=self._where(),
        )


Phase = Literal["write", "settle", "winner"]


class WriteCall:
    """One conditional write: takes effect at most once, reported truly.

    The phases are ``write``, ``settle`` (reading back after an answer was
    lost) and ``winner`` (reading who won, after a definite conflict).
    """

    def __init__(
        self,
        bases: BaseUrls,
        request: Request,
        *,
        key: str,
        expect: int,
        operation: str,
        deadline: float,
        attempt_s: float,
    ) -> None:
        """Prepares a write.

        Args:
            bases: The base URLs.
            request: PUT or DELETE under the condition ``expect``.
            key: Key of the object.
            expect: Version that the object must have; 0 for none.
            operation: Unique id inside the envelope that is written.
            deadline: Time in seconds at which the outcome is reported.
            attempt_s: Longest wait for one answer, seconds.
        """
        self._bases = bases
        self._request = request
        self._key = key
        self._expect = expect
        self._operation = operation
        self._deadline = deadline
        self._attempt_s = attempt_s
        self._phase: Phase = "write"
        self._uncertain = False
        self._attempts = 0
        self._base = 0
        self._found = 0
        self._error: errors.PlatformError | None = None

    def start(self, now: float) -> Action:
        """Starts the call."""
        self._bases.add_retry_credit()
        return self.on_timer(now)

    def on_timer(self, now: float) -> Action:
        """Sends the request of the phase."""
        if now >= self._deadline:
            return self._give_up("deadline passed")
        base = self._bases.pick(now)
        if base is None:
            if not self._uncertain:
                return self._give_up("breaker is open")
            # Reading back is the only way to learn the outcome.  It ignores
            # an open breaker, which may stay open beyond the deadline.
            self._phase = "settle"
            base = self._bases.preferred
        self._base = base
        request = self._request
        if self._phase != "write":
            request = Request("GET", OBJECTS_PATH + self._key)
        left = self._deadline - now
        return Send(base, request, min(left, self._attempt_s))

    def on_response(self, now: float, answer: Response) -> Action:
        """Takes the answer to the request last sent."""
        ok = NO_RESPONSE < answer.status < SERVER_ERROR
        self._bases.report(now, self._base, ok)
        if self._phase == "write":
            return self._on_write(now, answer)
        if self._phase == "winner":
            return Failed(self._conflict(read_item(answer)))
        return self._on_read_back(now, answer)

    def _on_write(self, now: float, answer: Response) -> Action:
        if answer.status == OK and _version_of(answer):
            return Done(answer, _version_of(answer))
        if answer.status == CONFLICT:
            # After a lost answer the conflict may be with our own write.
            self._phase = "settle" if self._uncertain else "winner"
            self._found = _version_of(answer)
            return self.on_timer(now)
        self._error = response_error(answer, self._request, self._where())
        if answer.status == TOO_MANY_REQUESTS or not answer.sent:
            return self._retry(now, answer)
        if OK < answer.status < SERVER_ERROR:
            return Failed(self._error)
        self._uncertain = True
        self._phase = "settle"
        return self._wait(now, answer)

    def _retry(self, now: float, answer: Response) -> Action:
        """Tries again after an answer that means "this copy did not run"."""
        if self._uncertain:
            self._phase = "settle"
            return self._wait(now, answer)
        wait = self._next_wait(answer)
        if now + wait >= self._deadline or not self._bases.take_retry():
            return self._give_up("retry budget or deadline reached")
        return Wait(wait)

    def _on_read_back(self, now: float, answer: Response) -> Action:
        if answer.status == NOT_FOUND and self._request.method == "DELETE":
            return Done(answer)
        if answer.status == NOT_FOUND and self._expect:
            return self._give_up("the object was deleted meanwhile")
        item = read_item(answer)
        if item is None:
            return self._wait(now, answer)
        verdict, version = settle(item, self._expect, self._operation)
        if verdict == "done":
            return Done(answer, version)
        if verdict == "lost":
            return Failed(self._conflict(item))
        if verdict == "unknown":
            return self._give_up(
                f"the object is at version {item.version}, written by "
                f"{item.value.writer or 'an unknown writer'}"
            )
        # Still at the expected version.  Versions never return, so of this
        # copy and a delayed one at most one can take effect.
        if self._bases.take_retry():
            self._phase = "write"
        return self._wait(now, answer)

    def _wait(self, now: float, answer: Response | None = None) -> Action:
        wait = self._next_wait(answer)
        return Wait(max(0.0, min(wait, self._deadline - now)))

    def _next_wait(self, answer: Response | None) -> float:
        wait = backoff_s(self._attempts, self._bases.rng)
        if self._uncertain:
            wait = min(wait, SETTLE_MAX_S)
        self._attempts += 1
        return max(wait, answer.retry_after_s if answer else 0.0)

    def _give_up(self, reason: str) -> Failed:
        """Fails: unknown if a copy may have run, else unavailable."""
        if self._phase == "winner":
            return Failed(self._conflict(None))
        kind: type[errors.PlatformError] = errors.PlatformUnavailableError
        if self._uncertain:
            kind = errors.WriteUnknownError
            reason = f"it is not known whether the write ran: {reason}"
        elif self._error is not None:
            return Failed(self._error)
        return Failed(kind(reason, step=self._step(), peer=self._where()))

    def _conflict(self, item: Item | None) -> errors.ConflictError:
        version, winner = self._found, "another writer"
        if item is not None:
            version = item.version
            winner = item.value.writer or winner
        now_at = f"is at version {version}, written by {winner}"
        if item is None and not version:
            now_at = "does not exist"
        return errors.ConflictError(
            f"{self._key} {now_at}; expected {_expected(self._expect)}",
            step=self._step(),
            peer=self._where(),
        )

    def _step(self) -> str:
        return f"{self._request.method} {self._key}"

    def _where(self) -> str:
        return self._bases.urls[self._base]


def settle(
    item: Item, expect: int, operation: str
) -> tuple[Literal["done", "lost", "open", "unknown"], int]:
    """Decides from an object read back whether a write took effect.

    Args:
        item: The object as it is now.
        expect: Version that the write required; 0 for none.
        operation: Operation id of the write.

    Returns:
        ``done`` with the version that the write made; ``lost`` if it did
        not and never will take effect; ``open`` if the expected version is
        still current; ``unknown`` if the envelope does not tell.
    """
    envelope = item.value
    if envelope.operation == operation:
        return "done", item.version
    for past in envelope.recent:
        if past.operation == operation:
            return "done", past.version
    if item.version == expect:
        return "open", 0
    # The list has no gap, so if it reaches the expected version it would
    # name the write.  It never reaches version 0: the object may have been
    # created by this write, deleted and created again.
    if any(past.version == expect for past in envelope.recent):
        return "lost", 0
    return "unknown", 0


def read_item(answer: Response) -> Item | None:
    """Returns the object in an answer; None if there is none."""
    if answer.status != OK:
        return None
    try:
        return msgspec.json.decode(answer.body, type=Item)
    except msgspec.DecodeError:
        return None


def response_error(
    answer: Response, request: Request, peer: str
) -> errors.PlatformError:
    """Returns the error that an answer without success stands for."""
    step = f"{request.method} {request.path.partition('?')[0]}"
    kind: type[errors.PlatformError] = errors.PlatformError
    reason = answer.reason or f"the platform answered {answer.status}"
    if answer.status == TOO_MANY_REQUESTS:
        kind, reason = errors.RateLimitedError, "rate limit reached"
    elif answer.status == NOT_FOUND:
        kind, reason = errors.NotFoundError, "does not exist"
    elif answer.status == NO_RESPONSE or answer.status >= SERVER_ERROR:
        kind = errors.PlatformUnavailableError
    return kind(reason, step=step, peer=peer)


def _expected(version: int) -> str:
    return f"version {version}" if version else "no object"


def _version_of(answer: Response) -> int:
    try:
        return int(msgspec.json.decode(answer.body)["version"])
    except (msgspec.DecodeError, KeyError, TypeError, ValueError):
        return 0
