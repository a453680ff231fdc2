"""Messaging, HTTP and process life cycle of both forwarding daemons."""

import asyncio
from collections.abc import Callable, Coroutine
import logging
import signal
import socket

from tornado import httpserver
from tornado import httputil
from tornado import netutil

from crocusmux import errors
from crocusmux import forwarding
from crocusmux import logs
from crocusmux import metrics
from crocusmux.core.forward import outputs
from crocusmux.core.forward import reports
from crocusmux.core.forward import segments
from crocusmux.daemons import process
from crocusmux.daemons import udp

logger = logging.getLogger(__name__)

FLUSH_INTERVAL_S = 0.25
BACKLOG = 128
MAX_BODY_BYTES = 4 << 20
# Errors name the malformed value, and a few long ones would fill the buffer of
# the log.
MAX_ERROR_CHARS = 500

HttpHandler = Callable[[httputil.HTTPServerRequest], tuple[int, bytes]]


class Messenger:
    """Messages to and from other daemons, and the log and metrics of events.

    Attributes:
        socket: Socket for messages, which also sends segments to agents.
        metrics: Event counts and durations.
        log: Function that logs an event.
    """

    def __init__(
        self,
        address: forwarding.Address,
        receive: Callable[[reports.Message, forwarding.Address], None],
        clock: Callable[[], float],
    ) -> None:
        """Binds the socket.

        Args:
            address: Address for messages.
            receive: Called with each message and its sender.
            clock: Returns the time in seconds.
        """
        self.metrics = metrics.Metrics()
        self.log = logs.make_event_logger(clock)
        self._receive = receive
        self.socket = udp.UdpSocket(address, self._on_datagram)

    def send(self, message: reports.Message, to: forwarding.Address) -> None:
        """Sends a message, which may get lost."""
        self.socket.send(reports.encode(message), to)

    def record_event(self, event: outputs.Event) -> None:
        """Counts and logs an event."""
        self.metrics.count_event(event.what)
        self.log(event)

    def record_bad_input(self, exc: Exception, sender: object) -> None:
        """Counts and logs input that cannot be decoded."""
        error = str(exc)[:MAX_ERROR_CHARS]
        detail = f"sender={sender} error={error!r}"
        self.record_event(outputs.Event("bad-input", b"", detail))

    def record_ignored(self, purpose: str, name: str) -> None:
        """Counts and logs an object of the store that is not used."""
        detail = f"purpose={purpose} name={name!r}"
        self.record_event(outputs.Event("object-ignored", b"", detail))

    def make_receiver(
        self,
        decode: Callable[[bytes], segments.Segment],
        on_segment: Callable[[segments.Segment, forwarding.Address], None],
    ) -> udp.Receiver:
        """Returns a datagram handler that decodes segments, counting bad ones.

        Args:
            decode: Decodes a segment; raises ``errors.WireError``.
            on_segment: Called with each segment and its sender.
        """

        def receive(data: bytes, sender: forwarding.Address) -> None:
            try:
                seg = decode(data)
            except errors.WireError as exc:
                self.record_bad_input(exc, sender)
                return
            on_segment(seg, sender)

        return receive

    def _on_datagram(self, data: bytes, sender: forwarding.Address) -> None:
        try:
            message = reports.decode(data)
        except errors.WireError as exc:
            self.record_bad_input(exc, sender)
            return
        self._receive(message, sender)


def supervise(tasks: set[asyncio.Task], coroutine: Coroutine) -> None:
    """Runs a coroutine in the background; if it fails, the process exits.

    A daemon without its timers would look alive and do nothing, whereas a
    process that exits is restarted.
    """
    loop = asyncio.get_running_loop()

    def on_done(task: asyncio.Task) -> None:
        if not task.cancelled() and task.exception() is not None:
            logger.error("event=failed", exc_info=task.exception())
            loop.stop()

    process.start_task(tasks, coroutine).add_done_callback(on_done)


def caller_address(key: bytes, port: int) -> forwarding.Address:
    """Returns the address that receives segments for a flow's caller."""
    return socket.inet_ntoa(key[:4]), port


def serve(
    address: forwarding.Address, handler: HttpHandler
) -> httpserver.HTTPServer:
    """Starts an HTTP server.

    Args:
        address: Address to listen on.
        handler: Returns status and body of the response to a request.

    Raises:
        errors.CrocusmuxError: The address cannot be bound.
    """

    def on_request(req: httputil.HTTPServerRequest) -> None:
        status, body = handler(req)
        conn = req.connection
        assert conn is not None
        reason = httputil.responses.get(status, "Unknown")
        start = httputil.ResponseStartLine("HTTP/1.1", status, reason)
        headers = httputil.HTTPHeaders({"Content-Length": str(len(body))})
        conn.write_headers(start, headers, body)
        conn.finish()

    try:
        sockets = netutil.bind_sockets(
            address[1], address[0], socket.AF_INET, BACKLOG
        )
    except OSError as exc:
        raise errors.CrocusmuxError(
            str(exc), step="listen", peer=f"{address[0]}:{address[1]}"
        ) from exc
    server = httpserver.HTTPServer(on_request, max_body_size=MAX_BODY_BYTES)
    server.add_sockets(sockets)
    return server


def run_daemon(
    cfg: forwarding.HostSettings,
    make_daemon: Callable[[], process.Daemon],
    reload: Callable[[], forwarding.HostSettings],
) -> int:
    """Runs a daemon until SIGTERM.

    Args:
        cfg: Settings of the process.
        make_daemon: Creates the daemon inside the running event loop.
        reload: Reads the settings again; SIGHUP only checks them.

    Returns:
        The exit status.
    """
    handler = logs.configure(cfg.host)

    def make_with_log() -> process.Daemon:
        loop = asyncio.get_running_loop()

        def flush_log() -> None:
            handler.flush_lines()
            loop.call_later(FLUSH_INTERVAL_S, flush_log)

        def on_hangup() -> None:
            try:
                reload()
            except errors.SettingsError as exc:
                logger.error("event=reload-failed error=%r", str(exc))
            else:
                logger.info("event=reload outcome=checked")

        flush_log()
        loop.add_signal_handler(signal.SIGHUP, on_hangup)
        return make_daemon()

    logger.info("event=start role=%s", cfg.role)
    try:
        status = process.run(make_with_log)
        logger.info("event=stop status=%d", status)
    finally:
        handler.flush_lines()
    return status
