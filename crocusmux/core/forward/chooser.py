"""Choice of the upstream for a new flow, among those that a flow prefers."""

from collections.abc import Callable, Iterable
import random

from crocusmux.core.forward import agent_table
from crocusmux.core.forward import holder_lookup
from crocusmux.core.forward import selection
from crocusmux.core.forward import upstreams

# A flow is placed among the agents that a holder lookup queries first, so that
# other balancers find it soon.
MAX_CANDIDATES = holder_lookup.FIRST_ROUND_AGENTS
# Age up to which a report tells the load as it is.  Other agents are candidates
# only if fewer than two have such a report, as two are compared.
RECENT_REPORT_S = 0.5
MIN_RECENT = 2
# Maximum age of a cached flow density, and the agents from which it is taken.
FLOW_DENSITY_INTERVAL_S = 0.25
FLOW_DENSITY_SAMPLE = 256
# Minimum interval between two scans of all agents of a service for some that
# accept new flows.
SCAN_INTERVAL_S = 0.05

# Reason for which a flow is refused at once.
REFUSED_NO_UPSTREAM = "no-upstream"

Agents = list[upstreams.Upstream]


class UpstreamChooser:
    """Chooses upstreams, and caches what would be costly for each flow."""

    __slots__ = (
        "_agent_table",
        "_failure_domain",
        "_flow_densities",
        "_next_scans",
        "_rng",
    )

    def __init__(
        self,
        agents: agent_table.AgentTable,
        failure_domain: str,
        rng: random.Random,
    ) -> None:
        """Creates a chooser for a balancer in a failure domain."""
        self._agent_table = agents
        self._failure_domain = failure_domain
        self._rng = rng
        # Time from which all agents may be scanned again, by service.
        self._next_scans: dict[str, float] = {}
        # Time of calculation and flow density, by service.
        self._flow_densities: dict[str, tuple[float, float]] = {}

    def choose(
        self, now: float, key: bytes, service: str, tried: set[str]
    ) -> upstreams.Upstream | None:
        """Returns the upstream to which a new flow is offered.

        Args:
            now: Time in seconds.
            key: Flow key.
            service: Service of the flow.
            tried: Hosts whose upstreams are not chosen.

        Returns:
            The upstream; None if no upstream is known to accept the flow.
        """
        exclusion = self.exclusion

        def usable(upstream: upstreams.Upstream) -> bool:
            host = upstream.record.host
            return host not in tried and not exclusion(now, upstream)

        local, find_remote = self.preferred(key, service, usable)
        density = self._mean_flow_density(now, service)
        domain, rng = self._failure_domain, self._rng
        chosen = selection.choose(
            recently_reported(now, local),
            lambda: recently_reported(now, find_remote()),
            domain,
            rng,
            density,
        )
        if chosen is not None or not self.may_scan(now, service):
            return chosen
        # Few of many agents accept flows, so none of the preferred ones does.
        self._next_scans[service] = now + SCAN_INTERVAL_S
        agents = self._agent_table.for_services((service,))
        accepting = [upstream for upstream in agents if usable(upstream)]
        if len(accepting) > MAX_CANDIDATES:
            accepting = rng.sample(accepting, MAX_CANDIDATES)
        local, remote = self.split_by_domain(accepting)
        return selection.choose(local, lambda: remote, domain, rng, density)

    def exclusion(self, now: float, upstream: upstreams.Upstream) -> str:
        """Returns why no new flow is offered to an upstream; empty if some are.

        All steps of the choice, and its explanation, judge upstreams by this.
        """
        return upstream.exclusion(now)

    def preferred(
        self, key: bytes, service: str, usable: agent_table.Usable
    ) -> tuple[Agents, Callable[[], Agents]]:
        """Returns the local candidates, and a function that finds the others.

        Those without a recent report are among them.

        Args:
            key: Flow key.
            service: Service of the flow.
            usable: Returns True for the upstreams to choose from.
        """
        agents = self._agent_table.for_services((service,))
        local = agents.preferred_local(key, usable, MAX_CANDIDATES)

        def find_remote() -> Agents:
            count = MAX_CANDIDATES - len(local)
            return agents.preferred_remote(key, usable, count)

        return local, find_remote

    def may_scan(self, now: float, service: str) -> bool:
        """Returns True if all agents of a service may be scanned again."""
        return now >= self._next_scans.get(service, 0.0)

    def split_by_domain(self, agents: Agents) -> tuple[Agents, Agents]:
        """Returns the agents of the balancer's failure domain, and the others."""
        is_local = self._agent_table.is_local
        local = [x for x in agents if is_local(x.record)]
        return local, [x for x in agents if not is_local(x.record)]

    def refusal_reason(self, now: float, service: str) -> str:
        """Returns why waiting for an upstream is useless; empty if it is not."""
        agents = self._agent_table.for_services((service,))
        all_lost = self._agent_table.complete and all(
            upstream.lost(now) for upstream in agents
        )
        return REFUSED_NO_UPSTREAM if all_lost else ""

    def peek_flow_density(self, now: float, service: str) -> float:
        """Returns the flow density that a choice would use now.

        Caches nothing and draws no random number: in a service with more than
        ``FLOW_DENSITY_SAMPLE`` agents and without a cached value, the result is
        that of all agents instead of a sample.
        """
        cached = self._cached_flow_density(now, service)
        if cached is not None:
            return cached
        agents = self._agent_table.for_services((service,))
        return _live_flow_density(now, agents)

    def _mean_flow_density(self, now: float, service: str) -> float:
        """Returns the open flows of a service per unit of its capacity."""
        density = self._cached_flow_density(now, service)
        if density is None:
            agents = list(self._agent_table.for_services((service,)))
            if len(agents) > FLOW_DENSITY_SAMPLE:
                agents = self._rng.sample(agents, FLOW_DENSITY_SAMPLE)
            density = _live_flow_density(now, agents)
            self._flow_densities[service] = now, density
        return density

    def _cached_flow_density(self, now: float, service: str) -> float | None:
        cached = self._flow_densities.get(service)
        if cached is None or now - cached[0] > FLOW_DENSITY_INTERVAL_S:
            return None
        return cached[1]


def _live_flow_density(
    now: float, agents: Iterable[upstreams.Upstream]
) -> float:
    live = [upstream for upstream in agents if not upstream.silent(now)]
    return selection.flow_density(live)


def recently_reported(
    now: float, agents: list[upstreams.Upstream]
) -> list[upstreams.Upstream]:
    """Returns the agents with a recent report, or those with the newest two."""
    since = now - RECENT_REPORT_S
    recent = [x for x in agents if x.reported_at >= since]
    if len(recent) >= MIN_RECENT:
        return recent
    newest = sorted(agents, key=lambda x: x.reported_at, reverse=True)
    return newest[:MIN_RECENT]
