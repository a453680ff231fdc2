"""HTTP server of a daemon: readiness, metrics, status and explanations."""

from collections.abc import Callable, Sequence
import inspect
import logging
import time
from typing import Any

import msgspec
from tornado import httpserver
from tornado import netutil
from tornado import web

from crocusmux import addresses
from crocusmux import errors

logger = logging.getLogger("crocusmux.http")

PROMETHEUS_TYPE = "text/plain; version=0.0.4; charset=utf-8"
# Requests are GETs with short headers and no body.
MAX_HEADER_BYTES = 16_384
MAX_BODY_BYTES = 1_024
IDLE_CONNECTION_TIMEOUT_S = 60.0

ExplainFunction = Callable[[dict[str, str]], Any]


class Health:
    """Readiness and versions that a daemon reports.

    Attributes:
        host: Name of the host.
        role: Role of the daemon.
        failure_domain: Failure domain of the host.
        ready: True if the daemon serves.
        reason: Why the daemon is not ready, in one line; empty if it is ready.
        since: UTC time of the last change of readiness, ISO 8601.
        draining: True while a graceful stop waits for flows.
        versions: Versions of the configuration objects, by key.
    """

    __slots__ = (
        "_wall_clock",
        "draining",
        "failure_domain",
        "host",
        "ready",
        "reason",
        "role",
        "since",
        "versions",
    )

    def __init__(
        self,
        host: str,
        role: str,
        failure_domain: str,
        wall_clock: Callable[[], float] = time.time,
    ) -> None:
        self.host = host
        self.role = role
        self.failure_domain = failure_domain
        self.ready = False
        self.reason = "no configuration yet"
        self.draining = False
        self.versions: dict[str, int] = {}
        self._wall_clock = wall_clock
        self.since = self._now()

    def set_ready(self) -> None:
        """Marks the daemon as ready."""
        self._set(True, "")

    def set_unready(self, reason: str) -> None:
        """Marks the daemon as not ready.

        Args:
            reason: Reason for operators; white space becomes single spaces.
        """
        self._set(False, " ".join(reason.split()))

    def as_dict(self) -> dict[str, Any]:
        """Returns the body of ``/status``."""
        return {
            "host": self.host,
            "role": self.role,
            "failure_domain": self.failure_domain,
            "ready": self.ready,
            "reason": self.reason,
            "since": self.since,
            "draining": self.draining,
            "versions": self.versions,
        }

    def _set(self, ready: bool, reason: str) -> None:
        if ready != self.ready:
            self.since = self._now()
        if (ready, reason) != (self.ready, self.reason):
            logger.info("ready=%s reason=%s", ready, reason or "-")
        self.ready, self.reason = ready, reason

    def _now(self) -> str:
        moment = time.gmtime(self._wall_clock())
        return time.strftime("%Y-%m-%dT%H:%M:%SZ", moment)


class HttpServer:
    """A running HTTP server.

    Attributes:
        ip: IP address of the listening socket.
        port: Port of the listening socket.
    """

    __slots__ = ("_server", "ip", "port")

    def __init__(self, server: httpserver.HTTPServer, ip: str, port: int):
        self._server = server
        self.ip = ip
        self.port = port

    async def stop(self) -> None:
        """Stops listening and closes the connections.

        WebSocket connections stay open; their handlers close them.
        """
        self._server.stop()
        await self._server.close_all_connections()


def start_http_server(
    address: str,
    health: Health,
    metrics: Callable[[], bytes],
    explain: ExplainFunction | None = None,
    handlers: Sequence[tuple] = (),
) -> HttpServer:
    """Starts the HTTP server of a daemon on the running loop.

    Args:
        address: ``ip:port`` to listen on; port 0 takes a free one.
        health: Health, read at each request.
        metrics: Returns the body of ``/metrics``.
        explain: Gets the query arguments of ``/explain``; returns a value
            that is encoded as JSON, or an awaitable of such a value.
            ``errors.CrocusmuxError`` and ``ValueError`` become status 400.
        handlers: Additional tornado routes.

    Raises:
        errors.SettingsError: The address is malformed or cannot be used.
    """
    routes = [
        (r"/ready", _Ready, {"health": health}),
        (r"/metrics", _Metrics, {"metrics": metrics}),
        (r"/status", _Status, {"health": health}),
        (r"/explain", _Explain, {"explain": explain}),
        *handlers,
    ]
    app = web.Application(routes, log_function=_log_request)
    server = httpserver.HTTPServer(
        app,
        max_header_size=MAX_HEADER_BYTES,
        max_body_size=MAX_BODY_BYTES,
        idle_connection_timeout=IDLE_CONNECTION_TIMEOUT_S,
    )
    try:
        ip, port = addresses.split(address)
        socks = netutil.bind_sockets(port, ip)
    except (ValueError, OSError) as exc:
        raise errors.SettingsError(
            str(exc), step="listen for HTTP", peer=address
        ) from exc
    server.add_sockets(socks)
    return HttpServer(server, ip, socks[0].getsockname()[1])


class _Ready(web.RequestHandler):
    def initialize(self, health: Health) -> None:
        self._health = health

    def get(self) -> None:
        self.set_header("Content-Type", "text/plain; charset=utf-8")
        if not self._health.ready:
            self.set_status(503)
        self.write((self._health.reason or "ready") + "\n")


class _Metrics(web.RequestHandler):
    def initialize(self, metrics: Callable[[], bytes]) -> None:
        self._metrics = metrics

    def get(self) -> None:
        self.set_header("Content-Type", PROMETHEUS_TYPE)
        self.write(self._metrics())


class _Status(web.RequestHandler):
    def initialize(self, health: Health) -> None:
        self._health = health

    def get(self) -> None:
        _write_json(self, self._health.as_dict())


class _Explain(web.RequestHandler):
    def initialize(self, explain: ExplainFunction | None) -> None:
        self._explain = explain

    async def get(self) -> None:
        if self._explain is None:
            raise web.HTTPError(404)
        names = self.request.query_arguments
        args = {name: self.get_query_argument(name) for name in names}
        try:
            value = self._explain(args)
            if inspect.isawaitable(value):
                value = await value
        except (errors.CrocusmuxError, ValueError) as exc:
            self.set_status(400)
            value = {"error": str(exc)}
        _write_json(self, value)


def _write_json(handler: web.RequestHandler, value: Any) -> None:
    handler.set_header("Content-Type", "application/json")
    handler.write(msgspec.json.encode(value) + b"\n")


def _log_request(handler: web.RequestHandler) -> None:
    """Logs a request: server errors as warnings, frequent probes as debug."""
    status = handler.get_status()
    unexpected = status >= 500 and not isinstance(handler, _Ready)
    logger.log(
        logging.WARNING if unexpected else logging.DEBUG,
        "%s %s from %s: %d",
        handler.request.method,
        handler.request.path,
        handler.request.remote_ip,
        status,
    )
