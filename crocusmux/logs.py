"""Log lines on standard output, rate-limited and non-blocking."""

from collections.abc import Callable
import logging
import os
import sys

from crocusmux.core.forward import outputs
from crocusmux.core.forward import segments

logger = logging.getLogger("crocusmux.events")

# Lines beyond these limits are dropped, and their number is logged.
ORDINARY_LINES_PER_S = 200
NOTABLE_LINES_PER_S = 300
# Log lines buffered while standard output is blocked.
BUFFER_BYTES = 256 * 1024

FORMAT = "%(asctime)s %(levelname)s %(name)s %(message)s"


class BufferedHandler(logging.Handler):
    """Buffers lines until ``flush_lines``; a full buffer drops new lines."""

    def __init__(self, descriptor: int | None = None) -> None:
        """Sets the file descriptor to write to, by default standard output."""
        super().__init__()
        self._descriptor = (
            sys.stdout.fileno() if descriptor is None else descriptor
        )
        os.set_blocking(self._descriptor, False)
        self._lines: list[bytes] = []
        self._bytes = 0
        self._dropped = 0

    def emit(self, record: logging.LogRecord) -> None:
        """Buffers a line, or counts it as dropped if the buffer is full."""
        line = (self.format(record) + "\n").encode(errors="replace")
        if self._bytes + len(line) > BUFFER_BYTES:
            self._dropped += 1
            return
        self._lines.append(line)
        self._bytes += len(line)

    def flush_lines(self) -> None:
        """Writes as many lines as the descriptor accepts now."""
        if self._dropped and self._bytes < BUFFER_BYTES // 2:
            text = f"event=log-dropped lines={self._dropped}\n"
            self._lines.append(text.encode())
            self._dropped = 0
        if not self._lines:
            return
        data = b"".join(self._lines)
        try:
            written = os.write(self._descriptor, data)
        except BlockingIOError:
            written = 0
        unwritten = data[written:]
        self._lines = [unwritten] if unwritten else []
        self._bytes = len(unwritten)


def configure(host: str) -> BufferedHandler:
    """Sends all log records of the process to a buffered handler."""
    handler = BufferedHandler()
    handler.setFormatter(logging.Formatter(f"{FORMAT} host={host}"))
    root = logging.getLogger()
    root.addHandler(handler)
    root.setLevel(logging.INFO)
    return handler


def make_event_logger(
    clock: Callable[[], float],
) -> Callable[[outputs.Event], None]:
    """Returns a function that logs events at a limited rate.

    Args:
        clock: Returns the time in seconds.
    """
    second = -1
    logged = {True: 0, False: 0}
    suppressed = {True: 0, False: 0}
    limits = {True: NOTABLE_LINES_PER_S, False: ORDINARY_LINES_PER_S}

    def log(event: outputs.Event) -> None:
        nonlocal second
        if int(clock()) != second:
            second = int(clock())
            if suppressed[True] or suppressed[False]:
                logger.warning(
                    "event=left-out notable=%d ordinary=%d",
                    suppressed[True],
                    suppressed[False],
                )
            for notable in (True, False):
                logged[notable] = suppressed[notable] = 0
        if logged[event.notable] >= limits[event.notable]:
            suppressed[event.notable] += 1
            return
        logged[event.notable] += 1
        level = logging.WARNING if event.notable else logging.INFO
        logger.log(level, format_event(event))

    return log


def format_event(event: outputs.Event) -> str:
    """Returns the log line of an event.

    Names and reasons in it come from other hosts.  If one of their characters
    cannot be printed, such as a line break that would forge a line, the detail
    is escaped.
    """
    detail = event.detail
    if not detail.isprintable():
        detail = detail.encode("unicode_escape").decode()
    if not event.key:
        return f"event={event.what} {detail}"
    flow = segments.format_flow_key(event.key)
    return f"event={event.what} flow={flow} {detail}"
