"""Rules that callers and upstreams check while a run lasts."""

from collections import Counter
from collections.abc import Callable, Iterator, Mapping, Sequence
import contextlib
import math
import pathlib
from typing import Any

import msgspec

from crocusmux.core.forward import segments
from crocusmux.core.forward import upstreams as core_upstreams
from soak import daemons
from soak import network
from soak import upstreams

# Bounds in seconds (source: docs/design/overload.md, part E).
CONFIG_BOUND_S = 5.0
EVACUATION_BOUND_S = 5.0
# Bound for the reset of a lost flow (source: docs/design/slow-answers.md).
LOST_FLOW_BOUND_S = 6.0
# Name of the trouble while packets between callers and hosts are dropped.
NETWORK = "network"
# Outage after which the balancers may count an agent as lost and reset its
# flows.
AGENT_LOST_S = core_upstreams.FIRST_REPORT_TIMEOUT_S
# Time for which flows may be reset because their agent was lost.
LOST_AGENT_EFFECT_S = 10.0
MODULUS = segments.SEQUENCE_MODULUS
# First part of the ids of requests that are not idempotent.
ONCE = "once-"


class Route(msgspec.Struct, frozen=True):
    """Route of an address that callers use; idempotent if repeatable."""

    name: str
    address: network.Address
    service: str
    repeatable: bool


class Checker:
    """Checks what callers and upstreams observe.

    Attributes:
        routes: Routes that the store has.
        evacuated_at: Evacuated domains with the time of the store's
            acknowledgement, seconds.
        find_flow: Returns the ``callers.Flow`` of a key.
    """

    def __init__(
        self,
        now: Callable[[], float],
        log: pathlib.Path,
        hosts: Sequence[daemons.Daemon],
        all_upstreams: Mapping[str, upstreams.Upstream],
    ) -> None:
        self.violations: list[str] = []
        self.counts: Counter[str] = Counter()
        self._hosts = {daemon.name: daemon for daemon in hosts}
        # Causes for which a host, or "all", cannot use the store now.
        self._troubles: Counter[str] = Counter()
        self._trouble_ended_at: dict[str, float] = {}
        self.evacuated_at: dict[str, float] = {}
        self.find_flow: Callable[[bytes], Any]
        self._version = 0
        self._configured_at = 0.0
        self._now = now
        self._began_at = now()
        self._log = log.open("w", encoding="utf-8")
        self._upstreams = all_upstreams
        self.routes: tuple[Route, ...] = ()
        # Services of each address with the time until which each was in force.
        self._services: dict[network.Address, dict[str, float]] = {}
        # Addresses that had no route, and until when.
        self._absent_until: dict[network.Address, float] = {}
        self._runs: dict[str, str] = {}
        self._refused: set[bytes] = set()
        # Lost flows whose callers wait, with the name of their balancer and the
        # time since when all of this holds; infinite once it was reported.
        self._lost: dict[bytes, tuple[str, float]] = {}
        # Time at which the last host of each service was lost for good.
        self._host_lost_at: dict[str, float] = {}

    def close(self) -> None:
        """Closes the log."""
        self._log.close()

    def note(self, what: str, **fields: object) -> None:
        """Counts and logs an observation."""
        self.counts[what] += 1
        text = " ".join(f"{key}={value}" for key, value in fields.items())
        at_s = self._now() - self._began_at
        self._log.write(f"{at_s:8.3f} event={what} {text}\n")

    @contextlib.contextmanager
    def trouble(self, name: str) -> Iterator[None]:
        """Records that a balancer, or "all", cannot use the store meanwhile.

        The name ``NETWORK`` stands for lost packets of callers.
        """
        self._troubles[name] += 1
        yield
        self._troubles[name] -= 1
        self._trouble_ended_at[name] = self._now()

    def _connected_since(self, name: str) -> float:
        """Returns since when a balancer has been up and connected."""
        daemon = self._hosts[name]
        if daemon.away_since is not None:
            return self._now()
        calm_since = self._calm_since(name, "all")
        return max([calm_since, *(end for _, end in daemon.outages[-1:])])

    def _calm_since(self, *names: str) -> float:
        """Returns since when there has been no trouble of these names."""
        if any(self._troubles[name] for name in names):
            return self._now()
        return max(self._trouble_ended_at.get(name, 0.0) for name in names)

    def report(self, rule: str, flow: str, detail: str) -> None:
        """Records a broken rule."""
        self.violations.append(f"rule={rule} flow={flow} {detail}")
        self.note("violation", rule=rule, flow=flow, detail=detail)

    def on_configuration(self, version: int, routes: Sequence[Route]) -> None:
        """Records that the store has acknowledged a configuration."""
        now = self._now()
        before = {route.address for route in self.routes}
        for route in self.routes:
            self._services[route.address][route.service] = now
        for route in routes:
            services = self._services.setdefault(route.address, {})
            services[route.service] = math.inf
            if route.address not in before:
                self._absent_until[route.address] = now
        for address in before - {route.address for route in routes}:
            self._absent_until[address] = math.inf
        self.routes = tuple(routes)
        self._version, self._configured_at = version, now
        self.note("configured", version=version)

    def on_config_version(self, balancer: str, version: int) -> None:
        """Checks the version that a balancer uses."""
        connected_at = self._connected_since(balancer)
        age_s = self._now() - max(self._configured_at, connected_at)
        if version < self._version and age_s > CONFIG_BOUND_S:
            detail = f"{version=} expected={self._version} {age_s=:.2f}"
            self.report("configuration-in-force", balancer, detail)

    def on_opening(self, upstream: upstreams.Upstream, key: bytes) -> None:
        """Checks an opening that reached an upstream."""
        flow, found = segments.format_flow_key(key), self.find_flow(key)
        self.note("opening", flow=flow, upstream=upstream.name)
        _, address = network.ends_of(key)
        until = self._services[address].get(upstream.service, -math.inf)
        connected_at = max(map(self._connected_since, found.balancers))
        where = f"upstream={upstream.name} balancers={sorted(found.balancers)}"
        # Openings that a caller repeats go where its first one went.
        age_s = found.began_at - max(until, connected_at)
        if until == -math.inf or age_s > CONFIG_BOUND_S:
            detail = f"service={upstream.service} {age_s=:.2f} {where}"
            self.report("opening-of-other-service", flow, detail)
        evacuated_at = self.evacuated_at.get(upstream.domain, math.inf)
        age_s = self._now() - max(evacuated_at, connected_at)
        if age_s > EVACUATION_BOUND_S:
            detail = f"{age_s=:.2f} {where}"
            self.report("opening-of-evacuated-domain", flow, detail)

    def on_run(
        self, upstream: upstreams.Upstream, key: bytes, request_id: str
    ) -> None:
        """Checks a request that an upstream runs."""
        flow = segments.format_flow_key(key)
        where = f"{upstream.name}/{upstream.boot}/{flow}"
        self.note("run", id=request_id, at=where)
        if key in self._refused:
            self.report("run-after-refusal", flow, f"id={request_id}")
        before = self._runs.setdefault(request_id, where)
        if before != where and request_id.startswith(ONCE):
            detail = f"id={request_id} first={before} second={where}"
            self.report("request-runs-twice", flow, detail)

    def on_refusal(self, key: bytes) -> None:
        """Records that a caller's opening was refused."""
        self._refused.add(key)
        flow = segments.format_flow_key(key)
        self.note("refusal", flow=flow)
        for request_id, where in self._runs.items():
            if where.endswith(flow):
                self.report("run-after-refusal", flow, f"id={request_id}")

    def on_reset(self, key: bytes) -> None:
        """Checks a reset of a flow that a caller has open."""
        flow, found = segments.format_flow_key(key), self.find_flow(key)
        holder = self._find_holder(key, found.first_ack)
        _, address = network.ends_of(key)
        name = holder.name if holder else ""
        self.note("reset", flow=flow, holder=name)
        if holder is None:
            self.counts["reset-without-holder"] += 1
        elif self._absent_until.get(address, 0.0) >= found.began_at:
            self.counts["reset-without-route"] += 1
        elif self._was_lost(holder.daemon):
            self.counts["reset-agent-lost"] += 1
        else:
            age_s = self._now() - found.began_at
            self.report("open-flow-reset", flow, f"holder={name} {age_s=:.2f}")

    def on_host_lost(self, service: str) -> None:
        """Records that a host has ended without sending a message, for good."""
        self._host_lost_at[service] = self._now()

    def check_lost(self, found: Any) -> None:
        """Checks that a ``callers.Flow`` does not wait too long for a reset.

        Call it every few tenths of a second for each long flow: the time counts
        from the first call that finds the flow lost and its caller waiting.
        """
        key, balancer = found.key, found.balancer
        waits = found.waits_since is not None
        lost = self._find_holder(key, found.first_ack) is None
        if not (lost and waits and found.state == "open"):
            self._lost.pop(key, None)
            return
        now = self._now()
        if self._lost.get(key, ("", now))[0] != balancer:
            self._lost[key] = (balancer, now)
        lost_at = self._lost[key][1]
        _, address = network.ends_of(key)
        if self._absent_until.get(address, 0.0) >= found.began_at:
            return
        since = max(
            lost_at,
            self._connected_since(balancer),
            self._calm_since(NETWORK),
            *map(self._hosts_back_at, self._services[address]),
        )
        if now - since > LOST_FLOW_BOUND_S:
            self._lost[key] = (balancer, math.inf)
            detail = f"{balancer=!s} waits_s={now - since:.2f}"
            flow = segments.format_flow_key(key)
            self.report("lost-flow-reset-late", flow, detail)

    def _hosts_back_at(self, service: str) -> float:
        """Returns since when all hosts of a service have been back.

        Hosts that were removed in order, or that start for the first time, do
        not count: their agents send Withdrawn, or they hold no flow yet.
        """
        back_at = [self._host_lost_at.get(service, 0.0)]
        for upstream in self._upstreams.values():
            agent = upstream.daemon
            if upstream.service != service or not agent.outages:
                continue
            if agent.away_since is not None or upstream.restarted_at is None:
                return self._now()
            back_at.append(upstream.restarted_at)
            back_at += [end for _, end in agent.outages[1:]]
        return max(back_at)

    def _find_holder(
        self, key: bytes, first_ack: int
    ) -> upstreams.Upstream | None:
        for upstream in self._upstreams.values():
            held = upstream.held.get(key)
            isn = held.isn if held else upstream.half_open.get(key)
            if isn is not None and first_ack == (isn + 1) % MODULUS:
                return upstream
        return None

    def _was_lost(self, agent: daemons.Daemon) -> bool:
        now = self._now()
        present = [(agent.away_since or now, now)]
        return any(
            end - begin > AGENT_LOST_S and now - end < LOST_AGENT_EFFECT_S
            for begin, end in agent.outages + present
        )

    def on_exit(self, name: str, status: int) -> None:
        """Reports a daemon that ended without a signal of the test."""
        self.report("daemon-ended", name, f"status={status}")
