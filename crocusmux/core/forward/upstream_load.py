"""Requests in progress at an upstream, read from segment heads."""

# Weight of a new sample of the service time.
SAMPLE_WEIGHT = 0.05
# Service time assumed before the first sample, milliseconds; 0 says unknown.
UNKNOWN_SERVICE_MS = 0.0
# A request without an answer for this long is no longer counted, seconds.
REQUEST_TIMEOUT_S = 10.0
# Time over which the mean of requests in progress is taken, seconds.
MEAN_WINDOW_S = 0.3


class UpstreamLoad:
    """Counts requests in progress and measures service times.

    A request begins when the caller's last new data has arrived and ends with
    the first data of the answer.  Only requests that found a free slot are samples of
    the service time, as the others waited in the upstream's queue.

    Attributes:
        in_progress: Requests without an answer.
        service_ms: Mean service time in milliseconds; 0 if not known.
    """

    __slots__ = ("_mean", "_updated_at", "in_progress", "service_ms")

    def __init__(self) -> None:
        self.in_progress = 0
        self.service_ms = UNKNOWN_SERVICE_MS
        self._mean = 0.0
        self._updated_at = 0.0

    def begin_request(self, now: float) -> None:
        """Counts a request."""
        self._update_mean(now)
        self.in_progress += 1

    def end_request(
        self, now: float, began_at: float, queued: bool, answered: bool
    ) -> None:
        """Counts a request off.

        Args:
            now: Time in seconds.
            began_at: Time at which it began, seconds.
            queued: True if the request found no free slot.
            answered: True if it ended with an answer.
        """
        self._update_mean(now)
        self.in_progress = max(0, self.in_progress - 1)
        if not answered or queued:
            return
        sample = (now - began_at) * 1000
        if self.service_ms == UNKNOWN_SERVICE_MS:
            self.service_ms = sample
        else:
            self.service_ms += SAMPLE_WEIGHT * (sample - self.service_ms)

    def mean_in_progress(self, now: float) -> float:
        """Returns the recent mean of requests in progress."""
        self._update_mean(now)
        return self._mean

    def _update_mean(self, now: float) -> None:
        passed = now - self._updated_at
        self._updated_at = now
        if passed <= 0:
            return
        weight = min(1.0, passed / MEAN_WINDOW_S)
        self._mean += weight * (self.in_progress - self._mean)
