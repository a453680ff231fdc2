"""HTTP client for IP addresses that returns failures and raises nothing."""

import asyncio
from collections.abc import Awaitable, Callable
import socket
from typing import Any

from tornado import httpclient
from tornado import iostream
from tornado import netutil
from tornado import simple_httpclient
from tornado import tcpclient

from crocusmux import objects
from crocusmux.core.control import calls

# Each waiting watch occupies a connection beside those of other calls.
MAX_CONNECTIONS = 100
# Enough for a list of several dozen objects of the largest size.
MAX_RESPONSE_BYTES = 64 * objects.MAX_OBJECT_BYTES

# TCP keep-alive: a connection can go silent without a reset, and a waiting
# watch sends nothing that would reveal it.
KEEPALIVE_IDLE_S = 2
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2

Fetch = Callable[[str, str, bytes | None, float], Awaitable[calls.Response]]


class _Resolver(netutil.DefaultLoopResolver):
    """Resolver that uses no thread for IP addresses."""

    async def resolve(
        self,
        host: str,
        port: int,
        family: socket.AddressFamily = socket.AF_UNSPEC,
    ) -> list[tuple[int, Any]]:
        if netutil.is_valid_ip(host):
            kind = socket.AF_INET6 if ":" in host else socket.AF_INET
            return [(kind, (host, port))]
        return await super().resolve(host, port, family)


class TCPClient(tcpclient.TCPClient):
    """Opens connections with TCP keep-alive."""

    async def connect(self, *args: Any, **kwargs: Any) -> iostream.IOStream:
        """See ``tornado.tcpclient.TCPClient``."""
        stream = await super().connect(*args, **kwargs)
        if stream.socket is None:
            # The other end, or a time-out, closed the connection since then.
            raise iostream.StreamClosedError()
        for level, option, value in (
            (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
            (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
            (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
            (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
        ):
            stream.socket.setsockopt(level, option, value)
        return stream


def make_fetch() -> Fetch:
    """Returns ``fetch(method, url, body, timeout_s) -> calls.Response``.

    The function uses the event loop that is current now.
    """
    client = simple_httpclient.SimpleAsyncHTTPClient(
        force_instance=True,
        max_clients=MAX_CONNECTIONS,
        max_buffer_size=MAX_RESPONSE_BYTES,
        resolver=_Resolver(),
    )
    client.tcp_client = TCPClient(resolver=client.resolver)

    async def fetch(
        method: str, url: str, body: bytes | None, timeout_s: float
    ) -> calls.Response:
        try:
            fut = client.fetch(
                url,
                method=method,
                body=body,
                raise_error=False,
                follow_redirects=False,
                connect_timeout=timeout_s,
                request_timeout=timeout_s,
                # Otherwise tornado refuses the body of a conditional DELETE.
                allow_nonstandard_methods=method == "DELETE",
            )
            # On cancellation the request continues in the background, because
            # tornado logs an error if the future of a request is cancelled.
            fut.add_done_callback(_retrieve_exception)
            response = await asyncio.shield(fut)
        except ConnectionRefusedError:
            return calls.Response(sent=False, reason="connection refused")
        except (OSError, httpclient.HTTPError) as exc:
            return calls.Response(sent=_was_sent(exc), reason=_reason(exc))
        except (OverflowError, ValueError) as exc:
            # The port may not fit 16 bits.
            return calls.Response(sent=False, reason=f"bad URL {url!r}: {exc}")
        if response.code >= 599:
            reason = _reason(response.error)
            return calls.Response(sent=_was_sent(response.error), reason=reason)
        return calls.Response(
            status=response.code,
            body=response.body,
            retry_after_s=_retry_after(response.headers.get("Retry-After")),
        )

    return fetch


def _retrieve_exception(fut: asyncio.Future) -> None:
    if not fut.cancelled():
        fut.exception()


def _reason(exc: BaseException | None) -> str:
    if isinstance(exc, simple_httpclient.HTTPStreamClosedError):
        return "connection closed without an answer"
    lines = str(exc).splitlines()
    return lines[0] if lines else "no answer"


def _was_sent(exc: BaseException | None) -> bool:
    """Returns False only if the connection was never established."""
    if isinstance(exc, ConnectionRefusedError):
        return False
    if isinstance(exc, simple_httpclient.HTTPTimeoutError):
        return "while connecting" not in str(exc)
    return True


def _retry_after(text: str | None) -> float:
    try:
        return max(0.0, float(text or 0))
    except ValueError:
        return 0.0
