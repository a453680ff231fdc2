"""Load of an upstream, derived from the headers of forwarded segments."""

from crocusmux.core.forward import upstream_health

# Weight of a new sample in the moving average of the service time.
SAMPLE_WEIGHT = 0.05
# Reported service time before the first sample.
UNKNOWN_SERVICE_MS = 0.0
# A request without an answer is no longer counted after this time.
REQUEST_TIMEOUT_S = 10.0
# Longest time for which an accepted flow counts as a request that is about to
# arrive.  A caller sends its request one round trip after the SYN.
FIRST_REQUEST_TIMEOUT_S = 0.1
# Time constant of the moving average of requests in progress.
MEAN_WINDOW_S = 0.3


class UpstreamLoad:
    """Counts requests in progress and measures service times.

    A request begins when the caller's last new data has arrived and ends with
    the first data of the answer.  Only requests that found a free slot are
    samples of the service time; the others also waited in the upstream's queue.

    Attributes:
        in_progress: Requests without an answer.
        service_ms: Mean service time in milliseconds; 0 if unknown.  Not kept
            while outliers are detected.
    """

    __slots__ = (
        "_accepted_at",
        "_health",
        "_mean",
        "_updated_at",
        "in_progress",
        "service_ms",
    )

    def __init__(
        self, health: upstream_health.UpstreamHealth | None = None
    ) -> None:
        """Creates an idle upstream's load; ``health`` detects outliers."""
        self._health = health
        # Time of acceptance of flows whose first request has not arrived.
        self._accepted_at: dict[bytes, float] = {}
        self.in_progress = 0
        self.service_ms = UNKNOWN_SERVICE_MS
        self._mean = 0.0
        self._updated_at = 0.0

    def accept_flow(self, now: float, key: bytes) -> None:
        """Expects the first request of a flow."""
        # Entries stay in the order of their times.
        self._accepted_at.pop(key, None)
        self._accepted_at[key] = now

    def end_expectation(self, key: bytes) -> None:
        """Expects no first request of a flow any more."""
        self._accepted_at.pop(key, None)

    def committed(self, now: float) -> int:
        """Returns the requests in progress and those about to arrive."""
        accepted_at = self._accepted_at
        while accepted_at:
            oldest = next(iter(accepted_at))
            if now - accepted_at[oldest] < FIRST_REQUEST_TIMEOUT_S:
                break
            del accepted_at[oldest]
        return self.in_progress + len(accepted_at)

    def begin(self, now: float) -> None:
        """Counts a new request."""
        self._update_mean(now)
        self.in_progress += 1

    def end(
        self, now: float, began_at: float, queued: bool, answered: bool
    ) -> None:
        """Removes a request from the count and samples its service time.

        Args:
            now: Time in seconds.
            began_at: Time at which the request began, seconds.
            queued: True if the request found no free slot.
            answered: True if the upstream answered the request.
        """
        self._update_mean(now)
        self.in_progress = max(0, self.in_progress - 1)
        if not answered or queued or self._health is not None:
            return
        sample = (now - began_at) * 1000
        if self.service_ms == UNKNOWN_SERVICE_MS:
            self.service_ms = sample
        else:
            self.service_ms += SAMPLE_WEIGHT * (sample - self.service_ms)

    def reported_service_ms(self) -> float:
        """Returns the service time in ms, raised by failures; 0 if unknown."""
        if self._health is not None:
            return self._health.service_ms()
        return self.service_ms

    def mean_in_progress(self, now: float) -> float:
        """Returns the moving average of requests in progress."""
        self._update_mean(now)
        return self._mean

    def _update_mean(self, now: float) -> None:
        elapsed_s = now - self._updated_at
        self._updated_at = now
        if elapsed_s <= 0:
            return
        weight = min(1.0, elapsed_s / MEAN_WINDOW_S)
        self._mean += weight * (self.in_progress - self._mean)
