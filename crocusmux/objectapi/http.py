"""HTTP requests to loopback and IP addresses, answered without exceptions."""

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

# A watch holds a connection while it waits, so there are more of them than
# calls in progress.
MAX_CONNECTIONS = 100
# A list of a few dozen objects of the largest size.
MAX_ANSWER_BYTES = 64 * objects.MAX_OBJECT_BYTES

# A connection can fall silent without a reset, and a watch has nothing to send.
# The kernel probes it after this time without data, seconds, and gives it up
# after so many probes without an answer.
KEEPALIVE_IDLE_S = 2
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2

Fetch = Callable[[str, str, bytes | None, float], Awaitable[calls.Response]]


class _Resolver(netutil.DefaultLoopResolver):
    """Resolver that needs no thread for IP numbers."""

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
    """Opens connections that notice when their peer is silent."""

    async def connect(self, *args: Any, **kwargs: Any) -> iostream.IOStream:
        """See ``tornado.tcpclient.TCPClient``."""
        stream = await super().connect(*args, **kwargs)
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

    The timeout runs on the clock of the loop that is current now.
    """
    client = simple_httpclient.SimpleAsyncHTTPClient(
        force_instance=True,
        max_clients=MAX_CONNECTIONS,
        max_buffer_size=MAX_ANSWER_BYTES,
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
            )
            # A cancelled call goes on by itself, as tornado logs an error when
            # one ends whose future was cancelled; nobody needs its outcome.
            fut.add_done_callback(_retrieve)
            answer = await asyncio.shield(fut)
        except ConnectionRefusedError:
            return calls.Response(sent=False, reason="connection refused")
        except (OSError, httpclient.HTTPError) as exc:
            return calls.Response(sent=_was_sent(exc), reason=_reason(exc))
        except ValueError as exc:
            return calls.Response(sent=False, reason=f"bad URL {url!r}: {exc}")
        if answer.code >= 599:
            reason = _reason(answer.error)
            return calls.Response(sent=_was_sent(answer.error), reason=reason)
        return calls.Response(
            status=answer.code,
            body=answer.body,
            retry_after_s=_retry_after(answer.headers.get("Retry-After")),
        )

    return fetch


def _retrieve(fut: asyncio.Future) -> None:
    if not fut.cancelled():
        fut.exception()


def _reason(exc: BaseException | None) -> str:
    if isinstance(exc, simple_httpclient.HTTPStreamClosedError):
        return "connection closed without an answer"
    text = str(exc).splitlines()
    return text[0] if text else "no answer"


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
