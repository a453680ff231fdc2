"""A small deployment under faults, with its callers and rules."""

import asyncio
from collections.abc import Callable, Sequence
import pathlib
import random
import signal

import msgspec

from crocusmux import errors
from crocusmux import forwarding
from crocusmux.daemons import process
from crocusmux.objectapi import http
from soak import callers
from soak import daemons
from soak import network
from soak import plan
from soak import router
from soak import rules
from soak import store
from soak import upstreams

START_TIMEOUT_S = 40.0
POLL_INTERVAL_S = 0.25
# Bound of the recovery after the last fault (source: docs/design/overload.md).
RECOVERY_BOUND_S = 15.0
# All requests that end within this time must be answered for a recovery.
CALM_S = 2.0
# A delay of the test's own loop from which on its store counts as silent.
STALL_S = 0.5
MAX_LOSS = 0.3
FETCH_TIMEOUT_S = 1.0
# Faults of the store that keep balancers from reading it.
UNREADABLE = ("silent", "reset", "reject")
ROUTES = (
    rules.Route("feeds", ("198.18.0.1", 8443), "rounds", True),
    rules.Route("bookings", ("198.18.0.2", 8443), "wheelbook", False),
    rules.Route("moving", ("198.18.0.3", 8443), "rounds", False),
    rules.Route("temporary", ("198.18.0.4", 8443), "rounds", True),
)
# Numbers of the route whose service changes, and of the last one, which is
# dropped at times.
MOVING, TEMPORARY = 2, 3


class System:
    """Daemons, store, router, upstreams and callers of one run."""

    def __init__(
        self, folder: pathlib.Path, seed: int, options: plan.Options
    ) -> None:
        self._folder = folder
        self._options = options
        self._rng = rng = random.Random(seed)
        self._now = now = asyncio.get_running_loop().time
        self._net = network.Network()
        self._store = store.FaultyStore(self._net.ip("store", 1))
        self._daemons: dict[str, daemons.Daemon] = {}
        # Without those that were removed or lost for good.
        self._upstreams: dict[str, upstreams.Upstream] = {}
        for name, place in plan.HOSTS.items():
            self._add_host(name, place)
        hosts = list(self._daemons.values())
        log = folder / "soak.log"
        self.checker = rules.Checker(now, log, hosts, self._upstreams)
        self._router = router.Router(self._net, hosts, rng)
        self._callers = callers.Callers(self._router, self.checker, rng)
        self.checker.find_flow = self._callers.flows.__getitem__
        self._routes = list(ROUTES)
        self._dropped = False
        self._version = 0
        self._fetch = http.make_fetch()
        self._tasks: set[asyncio.Task] = set()

    def _add_host(self, name: str, place: tuple[str, str]) -> daemons.Daemon:
        """Adds a daemon, and the upstream beside it, if it is an agent."""
        daemon = daemons.Daemon(
            self._net, self._folder, name, *place, self._options
        )
        daemon.on_exit = lambda *args: self.checker.on_exit(*args)
        self._daemons[name] = daemon
        if daemon.role == "agent":
            upstream = upstreams.Upstream(daemon, *place, self._rng)
            upstream.on_opening = lambda *args: self.checker.on_opening(*args)
            upstream.on_run = lambda *args: self.checker.on_run(*args)
            self._upstreams[name] = upstream
        return daemon

    async def start(self) -> None:
        """Starts all parts, and waits until all daemons serve."""
        self._publish()
        for daemon in self._daemons.values():
            daemon.start(self._store.address)
        for upstream in self._upstreams.values():
            upstream.start()
        process.start_task(self._tasks, self._router.check_readiness())
        await self._wait_for_start(self._router.all_ready)
        process.start_task(self._tasks, self._watch_stalls())
        process.start_task(self._tasks, self._watch_versions())
        process.start_task(self._tasks, self._watch_lost_flows())
        self._callers.start()
        await self._wait_for_start(self._calm)

    async def _wait_for_start(self, condition: Callable[[], bool]) -> None:
        if not await process.wait_until(condition, START_TIMEOUT_S):
            detail = f"not ready: {self._callers.failures(CALM_S)[:10]}"
            raise errors.CrocusmuxError(detail, step="start")

    def _calm(self) -> bool:
        return self._router.all_ready() and not self._callers.failures(CALM_S)

    async def inject(self, faults: Sequence[plan.Fault]) -> None:
        """Injects faults at their times, and waits until all have ended."""
        began_at = self._now()
        tasks = []
        for fault in faults:
            await asyncio.sleep(began_at + fault.at_s - self._now())
            self.checker.note("fault", fault=fault)
            work = self._inject_one(fault)
            tasks.append(process.start_task(self._tasks, work))
        await asyncio.gather(*tasks)

    async def recover(self) -> None:
        """Checks that requests succeed in time after the last fault."""
        ended_at = self._now()
        self.checker.note("faults-ended")
        if self._store.writes_lost:
            # Late writes may still be applied.
            await asyncio.sleep(store.MAX_LATE_S)
        left_s = ended_at + RECOVERY_BOUND_S - self._now()
        if not await process.wait_until(self._calm, left_s, POLL_INTERVAL_S):
            detail = f"failures={self._callers.failures(CALM_S)[:10]}"
            self.checker.report("recovery", "-", detail)
        took_s = self._now() - ended_at
        self.checker.note("recovered", took_s=f"{took_s:.2f}")

    async def stop(self) -> None:
        """Ends all processes and tasks."""
        self._callers.stop()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*(x.close() for x in self._daemons.values()))
        for upstream in self._upstreams.values():
            upstream.crash()
        self._router.close()
        self._store.stop()
        self._net.release()
        self.checker.close()

    def _publish(self) -> None:
        self._version += 1
        routes = self._routes[:TEMPORARY] if self._dropped else self._routes
        encoded = [_encode_route(route) for route in routes]
        content = {"version": self._version, "routes": encoded}
        self._store.put("config", "main", content)
        self.checker.on_configuration(self._version, routes)

    async def _inject_one(self, fault: plan.Fault) -> None:
        group, _, action = fault.kind.partition("-")
        inject = {
            "store": self._disturb_store,
            "upstream": self._end_upstream,
            "config": self._change_routes,
            "domain": self._evacuate,
            "network": self._lose_packets,
            "pair": self._remove_pair,
            "power": self._lose_power,
        }
        await inject.get(group, self._disturb_daemon)(fault, action)

    async def _lose_packets(self, fault: plan.Fault, action: str) -> None:
        self._router.loss = fault.degree * MAX_LOSS
        with self.checker.trouble(rules.NETWORK):
            await asyncio.sleep(fault.duration_s)
            self._router.loss = 0.0

    async def _disturb_store(self, fault: plan.Fault, action: str) -> None:
        self._store.set_fault(action, fault.degree)
        with self.checker.trouble("all" if action in UNREADABLE else "none"):
            await asyncio.sleep(fault.duration_s)
            self._store.set_fault("", 0.0)

    async def _end_upstream(self, fault: plan.Fault, action: str) -> None:
        upstream = self._upstreams[fault.target]
        if action == "drain":
            await upstream.drain(fault.duration_s / 2)
        upstream.crash()
        await asyncio.sleep(fault.duration_s / 2)
        upstream.start()

    async def _remove_pair(self, fault: plan.Fault, action: str) -> None:
        """Removes a host for good: in order, with a successor, or at once."""
        upstream = self._upstreams[fault.target]
        if action == "replace":
            await upstream.drain(fault.duration_s)
        del self._upstreams[fault.target]
        self._router.remove(upstream.daemon)
        upstream.crash()
        if action == "lose":
            self.checker.on_host_lost(upstream.service)
            await upstream.daemon.remove(signal.SIGKILL)
            return
        place = (upstream.domain, upstream.service)
        successor = self._add_host(fault.successor, place)
        self._router.add(successor)
        successor.start(self._store.address)
        self._upstreams[fault.successor].start()
        if not await upstream.daemon.remove(signal.SIGTERM):
            detail = "does not end after SIGTERM"
            self.checker.report("daemon-ended", fault.target, detail)

    async def _lose_power(self, fault: plan.Fault, action: str) -> None:
        """Ends all daemons and upstreams, which start again."""
        for upstream in self._upstreams.values():
            upstream.daemon.send(signal.SIGKILL)
            upstream.crash()
        for daemon in self._daemons.values():
            if daemon.role == "balancer":
                daemon.send(signal.SIGKILL)
        await asyncio.sleep(fault.duration_s)
        for upstream in self._upstreams.values():
            upstream.start()

    async def _disturb_daemon(self, fault: plan.Fault, action: str) -> None:
        daemon = self._daemons[fault.target]
        if action in ("kill", "term", "stop"):
            daemon.send(signal.Signals[f"SIG{action.upper()}"])
            await asyncio.sleep(fault.duration_s)
            if action == "stop":
                daemon.send(signal.SIGCONT)
            return
        cut = action == "cut"
        blocked = self._router.cut if cut else self._store.cut_ips
        with self.checker.trouble(rules.NETWORK if cut else daemon.name):
            blocked.add(daemon.ip)
            await asyncio.sleep(fault.duration_s)
            blocked.discard(daemon.ip)
            self._store.close_unanswered()

    async def _change_routes(self, fault: plan.Fault, action: str) -> None:
        if action == "move":
            route = self._routes[MOVING]
            other = "rounds" if route.service == "wheelbook" else "wheelbook"
            changed = msgspec.structs.replace(route, service=other)
            self._routes[MOVING] = changed
        else:
            self._dropped = True
            self._publish()
            await asyncio.sleep(fault.duration_s)
            self._dropped = False
        self._publish()

    async def _evacuate(self, fault: plan.Fault, action: str) -> None:
        self._store.put("evacuations", fault.target, {})
        self.checker.evacuated_at[fault.target] = self._now()
        await asyncio.sleep(fault.duration_s)
        del self.checker.evacuated_at[fault.target]
        self._store.delete("evacuations", fault.target)

    async def _watch_stalls(self) -> None:
        """Counts a late loop of the test as trouble of its store."""
        while True:
            began_at = self._now()
            await asyncio.sleep(POLL_INTERVAL_S)
            if self._now() - began_at > POLL_INTERVAL_S + STALL_S:
                self.checker.note("stall")
                with self.checker.trouble("all"):
                    pass

    async def _watch_lost_flows(self) -> None:
        while True:
            await asyncio.sleep(POLL_INTERVAL_S)
            for flow in self._callers.long_flows.values():
                self.checker.check_lost(flow)

    async def _watch_versions(self) -> None:
        while True:
            await asyncio.sleep(POLL_INTERVAL_S)
            for daemon in list(self._daemons.values()):
                if daemon.role == "balancer":
                    await self._check_version(daemon)

    async def _check_version(self, daemon: daemons.Daemon) -> None:
        url = daemon.url("control", "/state")
        response = await self._fetch("GET", url, None, FETCH_TIMEOUT_S)
        if response.status == 200 and daemon.away_since is None:
            kind = forwarding.PeerState
            state = msgspec.msgpack.decode(response.body, type=kind)
            self.checker.on_config_version(daemon.name, state.config.version)


def _encode_route(route: rules.Route) -> dict[str, object]:
    return {
        "name": route.name,
        "hostname": route.address[0],
        "path_prefix": f"/{route.address[1]}/",
        "type": "idempotent" if route.repeatable else "interactive",
        "timeout_ms": callers.BUDGET_S * 1000,
        "target_latency_ms": 300,
        "priority": 1 if route.repeatable else 0,
        "service": route.service,
    }
