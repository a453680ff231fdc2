"""Rules that callers and upstreams check while a run lasts."""

from collections import Counter
from collections.abc import Callable, Mapping, Sequence
import pathlib

import msgspec

from crocusmux.core.forward import segments
from crocusmux.core.forward import upstreams as core_upstreams
from soak import daemons
from soak import network
from soak import upstreams

# Bounds in seconds (source: docs/design/overload.md, part E).
CONFIG_BOUND_S = 5.0
EVACUATION_BOUND_S = 5.0
# Outage after which the balancers may count an agent as lost and reset its
# flows.
AGENT_LOST_S = core_upstreams.FIRST_REPORT_TIMEOUT_S
# Time for which flows may be reset because their agent was lost.
LOST_AGENT_EFFECT_S = 10.0


class Route(msgspec.Struct, frozen=True):
    """A route.

    Attributes:
        name: Name of the route.
        address: Address and port that callers use.
        service: Service to which it leads.
        repeatable: True if its requests are idempotent.
    """

    name: str
    address: network.Address
    service: str
    repeatable: bool


class Violation(msgspec.Struct, frozen=True):
    """A broken rule.

    Attributes:
        rule: Name of the rule.
        flow: The flow, or the host if no flow is affected.
        detail: What was seen.
        at_s: Time since the start of the run, seconds.
    """

    rule: str
    flow: str
    detail: str
    at_s: float

    def __str__(self) -> str:
        return (
            f"rule={self.rule} flow={self.flow} at_s={self.at_s:.3f}"
            f" {self.detail}"
        )


class Contacts:
    """Times since which balancers have been connected to the store.

    Attributes:
        troubles: Names of the balancers that cannot use the store now; "all"
            stands for each of them.
    """

    def __init__(
        self, now: Callable[[], float], balancers: Sequence[daemons.Daemon]
    ) -> None:
        """Assumes that all balancers are connected."""
        self.troubles: Counter[str] = Counter()
        self._ended_at: dict[str, float] = {}
        self._now = now
        self._balancers = {daemon.name: daemon for daemon in balancers}

    def begin_trouble(self, name: str) -> None:
        """Records that a balancer, or "all", cannot use the store."""
        self.troubles[name] += 1

    def end_trouble(self, name: str) -> None:
        """Ends ``begin_trouble``."""
        self.troubles[name] -= 1
        self._ended_at[name] = self._now()

    def connected_since(self, name: str) -> float:
        """Returns since when a balancer has been up and connected."""
        daemon = self._balancers[name]
        if (
            daemon.away_since is not None
            or self.troubles[name]
            or self.troubles["all"]
        ):
            return self._now()
        ends = [self._ended_at.get(name, 0.0), self._ended_at.get("all", 0.0)]
        return max(*ends, *(end for _, end in daemon.outages[-1:]))


class Checker:
    """Checks what callers and upstreams observe.

    Attributes:
        violations: Broken rules.
        counts: Number of each kind of observation.
        contacts: Connection of the balancers to the store.
        evacuated_at: Evacuated domains with the time of the store's
            acknowledgement, seconds.
        find_balancers: Returns the balancers that got a SYN of a flow, and the
            time of the first one, seconds.
    """

    def __init__(
        self,
        now: Callable[[], float],
        log: pathlib.Path,
        contacts: Contacts,
        all_upstreams: Mapping[str, upstreams.Upstream],
    ) -> None:
        """Checks nothing before the first observation."""
        self.violations: list[Violation] = []
        self.counts: Counter[str] = Counter()
        self.contacts = contacts
        self.evacuated_at: dict[str, float] = {}
        self.find_balancers: Callable[[bytes], tuple[set[str], float]]
        self.version = 0
        self.configured_at = 0.0
        self._now = now
        self._began_at = now()
        self._log = log.open("w", encoding="utf-8")
        self._upstreams = all_upstreams
        self._routes: tuple[Route, ...] = ()
        # Services of each address with the time until which each was in force.
        self._services: dict[network.Address, dict[str, float]] = {}
        self._dropped_at: dict[network.Address, float] = {}
        self._repeatable: dict[str, bool] = {}
        self._runs: dict[str, str] = {}
        self._refused: set[bytes] = set()

    def close(self) -> None:
        """Closes the log."""
        self._log.close()

    def note(self, what: str, **fields: object) -> None:
        """Counts and logs an observation."""
        self.counts[what] += 1
        text = " ".join(f"{key}={value}" for key, value in fields.items())
        at_s = self._now() - self._began_at
        self._log.write(f"{at_s:8.3f} event={what} {text}\n")

    def report(self, rule: str, flow: str, detail: str) -> None:
        """Records a broken rule."""
        at_s = self._now() - self._began_at
        self.violations.append(Violation(rule, flow, detail, at_s))
        self.note("violation", rule=rule, flow=flow, detail=detail)

    def routes_in_force(self) -> tuple[Route, ...]:
        """Returns the routes that the store has."""
        return self._routes

    def on_configuration(self, version: int, routes: Sequence[Route]) -> None:
        """Records that the store has acknowledged a configuration."""
        now = self._now()
        kept = {route.address for route in routes}
        for route in self._routes:
            self._services[route.address][route.service] = now
            if route.address not in kept:
                self._dropped_at[route.address] = now
        for route in routes:
            services = self._services.setdefault(route.address, {})
            services[route.service] = float("inf")
        self._routes = tuple(routes)
        self.version, self.configured_at = version, now
        self.note("configured", version=version)

    def on_config_version(self, balancer: str, version: int) -> None:
        """Checks the version that a balancer uses."""
        since = max(self.configured_at, self.contacts.connected_since(balancer))
        age_s = self._now() - since
        if version < self.version and age_s > CONFIG_BOUND_S:
            detail = f"version={version} expected={self.version}"
            detail += f" age_s={age_s:.2f}"
            self.report("configuration-in-force", balancer, detail)

    def on_opening(self, upstream: upstreams.Upstream, key: bytes) -> None:
        """Checks an opening that reached an upstream."""
        flow, now = segments.format_flow_key(key), self._now()
        balancers, began_at = self.find_balancers(key)
        self.note("opening", flow=flow, upstream=upstream.name)
        _, address = network.ends_of(key)
        until = self._services.get(address, {}).get(upstream.service)
        connected_at = max(
            (self.contacts.connected_since(x) for x in balancers), default=now
        )
        where = f"upstream={upstream.name} balancers={sorted(balancers)}"
        # Openings that a caller repeats go where its first one went.
        expired = until is not None and (
            began_at - max(until, connected_at) > CONFIG_BOUND_S
        )
        if until is None or expired:
            detail = f"service={upstream.service} {where}"
            self.report("opening-of-other-service", flow, detail)
        evacuated_at = self.evacuated_at.get(upstream.domain)
        if evacuated_at is not None:
            age_s = now - max(evacuated_at, connected_at)
            if age_s > EVACUATION_BOUND_S:
                detail = f"domain={upstream.domain} age_s={age_s:.2f} {where}"
                self.report("opening-of-evacuated-domain", flow, detail)

    def on_request(self, request_id: str, repeatable: bool) -> None:
        """Records that a caller sends a request."""
        self._repeatable[request_id] = repeatable

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
        if before != where and not self._repeatable[request_id]:
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

    def on_reset(self, key: bytes, first_ack: int, opened_at: float) -> None:
        """Checks a reset of an open flow.

        Args:
            key: Flow key.
            first_ack: The caller's acknowledgement of the SYN+ACK.
            opened_at: Time at which the flow opened, seconds.
        """
        flow = segments.format_flow_key(key)
        holder = self._find_holder(key, first_ack)
        _, address = network.ends_of(key)
        name = holder.name if holder else "none"
        self.note("reset", flow=flow, holder=name)
        if holder is None:
            return
        if self._dropped_at.get(address, 0.0) >= opened_at:
            self.counts["reset-without-route"] += 1
        elif self._was_lost(holder.daemon):
            self.counts["reset-agent-lost"] += 1
        else:
            age_s = self._now() - opened_at
            self.report("open-flow-reset", flow, f"holder={name} {age_s=:.2f}")

    def _find_holder(
        self, key: bytes, first_ack: int
    ) -> upstreams.Upstream | None:
        for upstream in self._upstreams.values():
            held = upstream.held.get(key)
            isn = held.isn if held else upstream.half_open.get(key)
            if isn is not None and segments.acknowledges_syn_ack(
                first_ack, isn
            ):
                return upstream
        return None

    def _was_lost(self, agent: daemons.Daemon) -> bool:
        now = self._now()
        outages = list(agent.outages)
        if agent.away_since is not None:
            outages.append((agent.away_since, now))
        return any(
            end - begin > AGENT_LOST_S and now - end < LOST_AGENT_EFFECT_S
            for begin, end in outages
        )

    def on_foreign_packet(self, key: bytes) -> None:
        """Reports a packet of a flow that no caller opened."""
        flow = segments.format_flow_key(key)
        self.report("packet-of-unknown-flow", flow, "")

    def on_exit(self, name: str, status: int) -> None:
        """Reports a daemon that ended without a signal of the test."""
        self.report("daemon-ended", name, f"status={status}")
