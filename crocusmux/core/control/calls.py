"""State machines of calls to the object API, which objectapi/client sends.

The response to a write can be lost after the write took effect.  Every value is
therefore stored in an envelope with the unique id of the write that made it
and the ids of the writes before it.  If a response is lost, the object is read
back through any base URL, as all return the same objects.  The write is sent
again only while the expected version is current: at most one copy takes effect.
"""

from collections.abc import Sequence
import random
from typing import Literal

import msgspec

from crocusmux import errors

# The cap limits a daemon to about one call in 2 s during an outage, and lets it
# recover within the target of 13 s.
BACKOFF_FIRST_S = 0.05
BACKOFF_MAX_S = 4.0
# Longest wait between reads of the object after a lost response; allows about
# ten reads within the client's deadline for a write.
READ_BACK_MAX_S = 1.0
# Limits the retries to a fifth of the calls in a long outage.
RETRIES_PER_CALL = 0.2
MAX_RETRY_BUDGET = 10.0
# Consecutive failures that open the circuit breaker of one base URL.
BREAKER_FAILURES = 5
BREAKER_FIRST_S = 1.0
BREAKER_MAX_S = 15.0
# Time after which the probe of a half-open breaker counts as lost.
PROBE_TIMEOUT_S = 3.0
# Earlier writes listed in an envelope, about 100 bytes each.  The outcome of a
# write can be determined until this many other writes have followed it.
MAX_RECENT_WRITES = 16

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
        version: Version that the write made.
        operation: Unique id of the write.
        writer: Name of the writer.
        at: Wall-clock time of the writer as text, for display only.
        object: The object written; ``NO_OBJECT`` if it was not kept.
    """

    version: int
    operation: str
    writer: str = ""
    at: str = ""
    object: msgspec.Raw = NO_OBJECT


class ObjectEnvelope(
    msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True
):
    """Value that the object API stores for one object.

    Attributes:
        operation: Unique id of the write that made this version.
        object: The object as JSON.
        writer: Name of the writer.
        at: Wall-clock time of the writer as text, for display only.
        recent: Earlier writes without a gap, newest first.
    """

    operation: str
    object: msgspec.Raw
    writer: str = ""
    at: str = ""
    recent: tuple[PastWrite, ...] = ()


class Item(msgspec.Struct, frozen=True, kw_only=True):
    """An object as the object API returns it."""

    key: str
    version: int
    value: ObjectEnvelope


class Request(msgspec.Struct, frozen=True):
    """An HTTP request, relative to a base URL."""

    method: str
    path: str
    body: bytes | None = None


class Response(msgspec.Struct, frozen=True, kw_only=True):
    """The response to a request, or the reason why there is none.

    Attributes:
        status: HTTP status; ``NO_RESPONSE`` if there is none.
        body: Body of the response.
        sent: False if the request certainly never left this process.
        retry_after_s: Delay requested by the object API, seconds.
        reason: Why there is no response.
    """

    status: int = NO_RESPONSE
    body: bytes = b""
    sent: bool = True
    retry_after_s: float = 0.0
    reason: str = ""


class Send(msgspec.Struct, frozen=True):
    """Output: send a request to a base URL and call ``on_response``."""

    base: int
    request: Request
    timeout_s: float


class Wait(msgspec.Struct, frozen=True):
    """Output: call ``on_timer`` after this many seconds."""

    seconds: float


class Done(msgspec.Struct, frozen=True):
    """Output: the call succeeded; a write made the version ``version``."""

    response: Response
    version: int = 0


class Failed(msgspec.Struct, frozen=True):
    """Output: the call failed."""

    error: errors.PlatformError


Action = Send | Wait | Done | Failed


def backoff_s(attempt: int, rng: random.Random) -> float:
    """Returns the delay before retry ``attempt`` (from 0), with jitter."""
    longest = min(BACKOFF_MAX_S, BACKOFF_FIRST_S * 2 ** min(attempt, 20))
    return rng.uniform(longest / 2, longest)


class Breaker:
    """Circuit breaker of one base URL; when half-open it allows one probe."""

    __slots__ = ("_failures", "_open_s", "_open_until", "_rng")

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._failures = 0
        self._open_s = BREAKER_FIRST_S
        self._open_until = 0.0

    def allow(self, now: float) -> bool:
        """Returns True if a call may be sent now."""
        if self._failures < BREAKER_FAILURES:
            return True
        if now < self._open_until:
            return False
        self._open_until = now + PROBE_TIMEOUT_S
        return True

    def report(self, now: float, ok: bool) -> None:
        """Records the result of a call."""
        if ok:
            self._failures, self._open_s = 0, BREAKER_FIRST_S
            return
        self._failures += 1
        if self._failures >= BREAKER_FAILURES:
            self._open_until = now + self._open_s * self._rng.uniform(0.5, 1.0)
            self._open_s = min(BREAKER_MAX_S, self._open_s * 2)


class BaseUrls:
    """Base URLs of the object API, with circuit breakers and a retry budget.

    Attributes:
        urls: The base URLs.
        preferred: Index of the URL to try first.
        rng: Source of randomness for jitter.
    """

    __slots__ = ("_breakers", "_budget", "preferred", "rng", "urls")

    def __init__(self, names: Sequence[str], rng: random.Random) -> None:
        self.urls = tuple(names)
        self.rng = rng
        self._breakers = [Breaker(rng) for _ in names]
        self._budget = MAX_RETRY_BUDGET
        self.preferred = 0

    def pick(self, now: float) -> int | None:
        """Returns the index of the URL to use; None if no breaker allows it."""
        count = len(self._breakers)
        for step in range(count):
            base = (self.preferred + step) % count
            if self._breakers[base].allow(now):
                return base
        return None

    def report(self, now: float, base: int, ok: bool) -> None:
        """Records the result of a call; a failure selects the next URL."""
        self._breakers[base].report(now, ok)
        if ok:
            self.preferred = base
        elif base == self.preferred:
            self.preferred = (base + 1) % len(self._breakers)

    def add_retry_credit(self) -> None:
        """Adds the retries that a new call allows to the budget."""
        self._budget = min(MAX_RETRY_BUDGET, self._budget + RETRIES_PER_CALL)

    def try_take_retry(self) -> bool:
        """Spends one retry; returns False if the budget is exhausted."""
        if self._budget < 1:
            return False
        self._budget -= 1
        return True


class ReadCall:
    """One read, retried within its deadline and the retry budget."""

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

    def on_response(self, now: float, response: Response) -> Action:
        """Processes the response to the last request."""
        ok = NO_RESPONSE < response.status < SERVER_ERROR
        self._bases.report(now, self._base, ok)
        if ok and response.status != TOO_MANY_REQUESTS:
            return Done(response)
        self._error = response_error(response, self._request, self._url())
        wait = backoff_s(self._attempts, self._bases.rng)
        wait = max(wait, response.retry_after_s)
        self._attempts += 1
        if now + wait >= self._deadline or not self._bases.try_take_retry():
            return Failed(self._error)
        return Wait(wait)

    def _url(self) -> str:
        return self._bases.urls[self._base]

    def _unavailable(self, reason: str) -> errors.PlatformError:
        return errors.PlatformUnavailableError(
            reason,
            step=f"{self._request.method} {self._request.path}",
            peer=self._url(),
        )


Phase = Literal["write", "read_back", "conflict"]


class WriteCall:
    """One conditional write that takes effect at most once.

    The phases are ``write``, ``read_back`` (read the object after a lost
    response) and ``conflict`` (read the winning write after a conflict).
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
            request: PUT or DELETE with the condition ``expect``.
            key: Key of the object.
            expect: Version that the object must have; 0 for none.
            operation: Unique id in the envelope that is written.
            deadline: Time by which the outcome is reported, seconds.
            attempt_s: Timeout of one request, seconds.
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
        self._conflict_version = 0
        self._error: errors.PlatformError | None = None

    def start(self, now: float) -> Action:
        """Starts the call."""
        self._bases.add_retry_credit()
        return self.on_timer(now)

    def on_timer(self, now: float) -> Action:
        """Sends the request of the current phase."""
        if now >= self._deadline:
            return self._give_up("deadline passed")
        base = self._bases.pick(now)
        if base is None:
            if not self._uncertain:
                return self._give_up("breaker is open")
            # Only reading the object back tells the outcome.  This ignores the
            # breaker, which may stay open beyond the deadline.
            self._phase = "read_back"
            base = self._bases.preferred
        self._base = base
        request = self._request
        if self._phase != "write":
            request = Request("GET", OBJECTS_PATH + self._key)
        left = self._deadline - now
        return Send(base, request, min(left, self._attempt_s))

    def on_response(self, now: float, response: Response) -> Action:
        """Processes the response to the last request."""
        ok = NO_RESPONSE < response.status < SERVER_ERROR
        self._bases.report(now, self._base, ok)
        if self._phase == "write":
            return self._on_write(now, response)
        if self._phase == "conflict":
            return Failed(self._conflict(read_item(response)))
        return self._on_read_back(now, response)

    def _on_write(self, now: float, response: Response) -> Action:
        if response.status == OK and _version_of(response):
            return Done(response, _version_of(response))
        if response.status == CONFLICT:
            # After a lost response the conflict may be with the own write.
            self._phase = "read_back" if self._uncertain else "conflict"
            self._conflict_version = _version_of(response)
            return self.on_timer(now)
        self._error = response_error(response, self._request, self._url())
        if response.status == TOO_MANY_REQUESTS or not response.sent:
            return self._retry(now, response)
        if OK < response.status < SERVER_ERROR:
            return Failed(self._error)
        self._uncertain = True
        self._phase = "read_back"
        return self._wait(now, response)

    def _retry(self, now: float, response: Response) -> Action:
        """Schedules a retry after a response that excludes an effect."""
        if self._uncertain:
            self._phase = "read_back"
            return self._wait(now, response)
        wait = self._next_wait(response)
        if now + wait >= self._deadline or not self._bases.try_take_retry():
            return self._give_up("retry budget or deadline reached")
        return Wait(wait)

    def _on_read_back(self, now: float, response: Response) -> Action:
        if response.status == NOT_FOUND and self._request.method == "DELETE":
            return Done(response)
        if response.status == NOT_FOUND and self._expect:
            return self._give_up("the object was deleted meanwhile")
        item = read_item(response)
        if item is None:
            return self._wait(now, response)
        outcome, version = resolve_write(item, self._expect, self._operation)
        if outcome == "done":
            return Done(response, version)
        if outcome == "lost":
            return Failed(self._conflict(item))
        if outcome == "unknown":
            return self._give_up(
                f"the object is at version {item.version}, written by "
                f"{item.value.writer or 'an unknown writer'}"
            )
        # Still at the expected version.  Versions never go back, so at most
        # one of a new and a delayed copy of the request can take effect.
        if self._bases.try_take_retry():
            self._phase = "write"
        return self._wait(now, response)

    def _wait(self, now: float, response: Response | None = None) -> Action:
        wait = self._next_wait(response)
        return Wait(max(0.0, min(wait, self._deadline - now)))

    def _next_wait(self, response: Response | None) -> float:
        wait = backoff_s(self._attempts, self._bases.rng)
        if self._uncertain:
            wait = min(wait, READ_BACK_MAX_S)
        self._attempts += 1
        return max(wait, response.retry_after_s if response else 0.0)

    def _give_up(self, reason: str) -> Failed:
        """Fails: outcome unknown if a copy may have run, else unavailable."""
        if self._phase == "conflict":
            return Failed(self._conflict(None))
        kind: type[errors.PlatformError] = errors.PlatformUnavailableError
        if self._uncertain:
            kind = errors.WriteUnknownError
            reason = f"it is not known whether the write ran: {reason}"
        elif self._error is not None:
            return Failed(self._error)
        return Failed(kind(reason, step=self._step(), peer=self._url()))

    def _conflict(self, item: Item | None) -> errors.ConflictError:
        version, winner = self._conflict_version, "another writer"
        if item is not None:
            version = item.version
            winner = item.value.writer or winner
        now_at = f"is at version {version}, written by {winner}"
        if item is None and not version:
            now_at = "does not exist"
        return errors.ConflictError(
            f"{self._key} {now_at}; expected {_describe_version(self._expect)}",
            step=self._step(),
            peer=self._url(),
        )

    def _step(self) -> str:
        return f"{self._request.method} {self._key}"

    def _url(self) -> str:
        return self._bases.urls[self._base]


def resolve_write(
    item: Item, expect: int, operation: str
) -> tuple[Literal["done", "lost", "open", "unknown"], int]:
    """Determines from the current object whether a write took effect.

    Args:
        item: The object as read back.
        expect: Version that the write required; 0 for none.
        operation: Unique id of the write.

    Returns:
        ``done`` with the version that the write made; ``lost`` if the write
        did not and cannot take effect; ``open`` if the expected version is
        still current; ``unknown`` if the envelope does not reach back to it.
    """
    envelope = item.value
    if envelope.operation == operation:
        return "done", item.version
    for past in envelope.recent:
        if past.operation == operation:
            return "done", past.version
    if item.version == expect:
        return "open", 0
    # The list has no gap: if it reaches back to the expected version, it would
    # contain the write.  It never reaches version 0, as the object may have
    # been created by this write, deleted and created again.
    if any(past.version == expect for past in envelope.recent):
        return "lost", 0
    return "unknown", 0


def read_item(response: Response) -> Item | None:
    """Returns the object in a response; None if there is none."""
    if response.status != OK:
        return None
    try:
        return msgspec.json.decode(response.body, type=Item)
    except msgspec.DecodeError:
        return None


def response_error(
    response: Response, request: Request, peer: str
) -> errors.PlatformError:
    """Returns the error for an unsuccessful response."""
    step = f"{request.method} {request.path.partition('?')[0]}"
    kind: type[errors.PlatformError] = errors.PlatformError
    reason = response.reason or f"the object API answered {response.status}"
    if response.status == TOO_MANY_REQUESTS:
        kind, reason = errors.RateLimitedError, "rate limit reached"
    elif response.status == NOT_FOUND:
        kind, reason = errors.NotFoundError, "does not exist"
    elif response.status == NO_RESPONSE or response.status >= SERVER_ERROR:
        kind = errors.PlatformUnavailableError
    return kind(reason, step=step, peer=peer)


def _describe_version(version: int) -> str:
    return f"version {version}" if version else "no object"


def _version_of(response: Response) -> int:
    try:
        return int(msgspec.json.decode(response.body)["version"])
    except (msgspec.DecodeError, KeyError, TypeError, ValueError):
        return 0
