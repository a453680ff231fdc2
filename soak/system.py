"""A small deployment under faults, with its callers and rules."""

import asyncio
from collections.abc import Sequence
import pathlib
import random

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
MOVING, TEMPORARY = 2, 3


class System:
    """Daemons, store, router, upstreams and callers of one run.

    Attributes:
        checker: Checks the rules.
        stalls: Times at which the test itself was late.
    """

    def __init__(self, folder: pathlib.Path, seed: int) -> None:
        """Binds the addresses; ``start`` runs the processes."""
        rng = random.Random(seed)
        now = asyncio.get_running_loop().time
        self.stalls = 0
        self._now = now
        self._net = network.Network()
        self._store = store.FaultyStore(self._net.ip("store", 1))
        self._balancers = {
            f"balancer-{n}": daemons.Daemon(
                self._net, folder, "balancer", n, domain
            )
            for n, domain in enumerate(plan.DOMAINS * 2, 1)
        }
        self._agents = {
            f"agent-{n}": daemons.Daemon(
                self._net, folder, "agent", n, domain, service
            )
            for n, (service, domain) in plan.AGENTS.items()
        }
        self._upstreams = {
            f"upstream-{n}": upstreams.Upstream(
                self._agents[f"agent-{n}"], service, domain, rng
            )
            for n, (service, domain) in plan.AGENTS.items()
        }
        balancers = list(self._balancers.values())
        self._contacts = rules.Contacts(now, balancers)
        self.checker = rules.Checker(
            now, folder / "soak.log", self._contacts, self._upstreams
        )
        agents = list(self._agents.values())
        self._router = router.Router(self._net, balancers, agents, rng)
        self._callers = callers.Callers(self._router, self.checker, rng)
        self.checker.find_balancers = self._callers.find_balancers
        self._routes = list(ROUTES)
        self._dropped = False
        self._version = 0
        self._fetch = http.make_fetch()
        self._tasks: set[asyncio.Task] = set()
        for daemon in (*balancers, *agents):
            daemon.on_exit = self.checker.on_exit
        for upstream in self._upstreams.values():
            upstream.on_opening = self.checker.on_opening
            upstream.on_run = self.checker.on_run

    async def start(self) -> None:
        """Starts all parts, and waits until all daemons serve.

        Raises:
            errors.CrocusmuxError: They do not serve in time.
        """
        self._publish()
        for daemon in (*self._balancers.values(), *self._agents.values()):
            daemon.start(self._store.address)
        for upstream in self._upstreams.values():
            upstream.start()
        process.start_task(self._tasks, self._router.check_readiness())
        ready = self._router.all_ready
        if not await process.wait_until(ready, START_TIMEOUT_S):
            raise errors.CrocusmuxError(
                f"daemons are not ready after {START_TIMEOUT_S} s", step="start"
            )
        process.start_task(self._tasks, self._watch_stalls())
        process.start_task(self._tasks, self._watch_versions())
        self._callers.start()
        if not await process.wait_until(self._calm, START_TIMEOUT_S):
            raise errors.CrocusmuxError(
                "requests fail before the first fault", step="start"
            )

    def _calm(self) -> bool:
        return self._router.all_ready() and self._callers.calm(CALM_S)

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
            detail = self._callers.describe_failures(CALM_S)
            self.checker.report("recovery", "-", detail)
        took_s = self._now() - ended_at
        self.checker.note("recovered", took_s=f"{took_s:.2f}")

    async def stop(self) -> None:
        """Ends all processes and tasks."""
        self._callers.stop()
        for task in list(self._tasks):
            task.cancel()
        daemons_ = (*self._balancers.values(), *self._agents.values())
        await asyncio.gather(*(daemon.close() for daemon in daemons_))
        for upstream in self._upstreams.values():
            upstream.crash()
        self._router.close()
        self._store.stop()
        self._net.release()
        self.checker.close()

    def _publish(self) -> None:
        """Writes the routes to the store as a new configuration."""
        self._version += 1
        routes = [
            route
            for number, route in enumerate(self._routes)
            if number != TEMPORARY or not self._dropped
        ]
        state = {
            "version": self._version,
            "routes": [_encode_route(route) for route in routes],
        }
        self._store.put("config", "main", state)
        self.checker.on_configuration(self._version, routes)

    async def _inject_one(self, fault: plan.Fault) -> None:
        group, _, action = fault.kind.partition("-")
        if group == "store":
            await self._disturb_store(fault, action)
        elif group == "upstream":
            await self._end_upstream(fault, action)
        elif group in ("balancer", "agent"):
            await self._disturb_daemon(fault, action)
        elif group == "config":
            await self._change_routes(fault, action)
        elif group == "domain":
            await self._evacuate(fault)
        else:
            self._router.loss += fault.degree * MAX_LOSS
            await asyncio.sleep(fault.duration_s)
            self._router.loss -= fault.degree * MAX_LOSS

    async def _disturb_store(self, fault: plan.Fault, action: str) -> None:
        self._store.set_fault(action, fault.degree)
        if action in UNREADABLE:
            self._contacts.begin_trouble("all")
        await asyncio.sleep(fault.duration_s)
        self._store.clear_fault()
        if action in UNREADABLE:
            self._contacts.end_trouble("all")

    async def _end_upstream(self, fault: plan.Fault, action: str) -> None:
        upstream = self._upstreams[fault.target]
        if action == "drain":
            await upstream.drain(fault.duration_s)
            await asyncio.sleep(daemons.RESTART_DELAY_S)
        else:
            upstream.crash()
            await asyncio.sleep(fault.duration_s)
        upstream.start()

    async def _disturb_daemon(self, fault: plan.Fault, action: str) -> None:
        daemon = (self._balancers | self._agents)[fault.target]
        if action == "kill":
            daemon.kill()
        elif action == "restart":
            await daemon.terminate()
        elif action == "stop":
            daemon.suspend()
            await asyncio.sleep(fault.duration_s)
            daemon.resume()
        elif action == "cut":
            self._router.cut.add(daemon.ip)
            await asyncio.sleep(fault.duration_s)
            self._router.cut.discard(daemon.ip)
        else:
            self._store.cut_off(daemon.ip)
            self._contacts.begin_trouble(daemon.name)
            await asyncio.sleep(fault.duration_s)
            self._store.reconnect(daemon.ip)
            self._contacts.end_trouble(daemon.name)

    async def _change_routes(self, fault: plan.Fault, action: str) -> None:
        if action == "move":
            route = self._routes[MOVING]
            other = "rounds" if route.service == "wheelbook" else "wheelbook"
            changed = msgspec.structs.replace(route, service=other)
            self._routes[MOVING] = changed
            self._publish()
            return
        self._dropped = True
        self._publish()
        await asyncio.sleep(fault.duration_s)
        self._dropped = False
        self._publish()

    async def _evacuate(self, fault: plan.Fault) -> None:
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
                self.stalls += 1
                self.checker.note("stall")
                self._contacts.begin_trouble("all")
                self._contacts.end_trouble("all")

    async def _watch_versions(self) -> None:
        """Checks which configuration each balancer uses."""
        while True:
            await asyncio.sleep(POLL_INTERVAL_S)
            await asyncio.gather(
                *(self._check_version(x) for x in self._balancers.values())
            )

    async def _check_version(self, daemon: daemons.Daemon) -> None:
        response = await self._fetch(
            "GET", daemon.url("control", "/state"), None, FETCH_TIMEOUT_S
        )
        if response.status == 200 and daemon.away_since is None:
            state = msgspec.msgpack.decode(
                response.body, type=forwarding.PeerState
            )
            version = state.config.version
            self.checker.on_config_version(daemon.name, version)


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
