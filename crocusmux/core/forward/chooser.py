"""Choice of the upstream for a new flow, among those that a flow prefers."""

from collections.abc import Container
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
# Maximum age of a cached flow density and mean service time, and the agents from
# which they are taken.
FLOW_DENSITY_INTERVAL_S = 0.25
FLOW_DENSITY_SAMPLE = 256
# Minimum interval between two scans of all agents of a service for some that
# accept new flows.
SCAN_INTERVAL_S = 0.05


class UpstreamChooser:
    """Chooses upstreams, and caches what would be costly for each flow."""

    __slots__ = (
        "_agent_table",
        "_assume_mean",
        "_assumed_service_ms",
        "_evacuated",
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
        evacuated: Container[str] = (),
        *,
        assume_mean: bool = False,
    ) -> None:
        """Creates a chooser for a balancer in a failure domain.

        Args:
            agents: All agents.
            failure_domain: Failure domain of the balancer.
            rng: Source of random numbers.
            evacuated: Failure domains whose upstreams are not chosen.
            assume_mean: True to assume that an upstream without a known service
                time is as slow as the mean of the others of its service.
        """
        self._agent_table = agents
        self._evacuated = evacuated
        self._assume_mean = assume_mean
        self._failure_domain = failure_domain
        self._rng = rng
        # Time from which all agents may be scanned again, by service.
        self._next_scans: dict[str, float] = {}
        # Time of calculation and flow density, by service.
        self._flow_densities: dict[str, tuple[float, float]] = {}
        # Service time of upstreams without a known one, by service.
        self._assumed_service_ms: dict[str, float] = {}

    def choose(
        self,
        now: float,
        key: bytes,
        service: str,
        tried: set[str],
        with_free_slot: bool = False,
    ) -> upstreams.Upstream | None:
        """Returns the upstream to which a new flow is offered.

        Args:
            now: Time in seconds.
            key: Flow key.
            service: Service of the flow.
            tried: Hosts whose upstreams are not chosen.
            with_free_slot: True to choose only among preferred upstreams that
                report a free slot.

        Returns:
            The upstream; None if no upstream is known to accept the flow.
        """

        def usable(upstream: upstreams.Upstream) -> bool:
            return (
                upstream.record.host not in tried
                and upstream.record.failure_domain not in self._evacuated
                and upstream.accepts(now)
                and (
                    not with_free_slot or selection.has_free_slot(now, upstream)
                )
            )

        agents = self._agent_table.for_services((service,))
        local = agents.preferred_local(key, usable, MAX_CANDIDATES)

        def find_remote() -> list[upstreams.Upstream]:
            count = MAX_CANDIDATES - len(local)
            remote = agents.preferred_remote(key, usable, count)
            return recently_reported(now, remote)

        density = self._mean_flow_density(now, service)
        assumed_ms = self._assumed_service_ms.get(
            service, selection.DEFAULT_SERVICE_MS
        )
        domain, rng = self._failure_domain, self._rng
        recent = recently_reported(now, local)
        chosen = selection.choose(
            recent, find_remote, domain, rng, density, assumed_ms
        )
        if chosen is not None or now < self._next_scans.get(service, 0.0):
            return chosen
        if with_free_slot:
            # A scan would delay the next one for flows without an upstream.
            return None
        # Few of many agents accept flows, so none of the preferred ones does.
        self._next_scans[service] = now + SCAN_INTERVAL_S
        accepting = [upstream for upstream in agents if usable(upstream)]
        if len(accepting) > MAX_CANDIDATES:
            accepting = rng.sample(accepting, MAX_CANDIDATES)
        is_local = self._agent_table.is_local
        local = [x for x in accepting if is_local(x.record)]
        remote = [x for x in accepting if not is_local(x.record)]
        return selection.choose(
            local, lambda: remote, domain, rng, density, assumed_ms
        )

    def _mean_flow_density(self, now: float, service: str) -> float:
        """Returns the open flows of a service per unit of its capacity.

        Upstreams of evacuated domains are left out: they keep fewer and fewer
        flows, and all others would seem to have more than their share.
        """
        cached = self._flow_densities.get(service)
        if cached is None or now - cached[0] > FLOW_DENSITY_INTERVAL_S:
            agents = list(self._agent_table.for_services((service,)))
            if len(agents) > FLOW_DENSITY_SAMPLE:
                agents = self._rng.sample(agents, FLOW_DENSITY_SAMPLE)
            live = [
                upstream
                for upstream in agents
                if upstream.record.failure_domain not in self._evacuated
                and not upstream.silent(now)
            ]
            assumed_ms = selection.DEFAULT_SERVICE_MS
            if self._assume_mean:
                assumed_ms = selection.mean_service_ms(live)
                self._assumed_service_ms[service] = assumed_ms
            cached = now, selection.flow_density(live, assumed_ms)
            self._flow_densities[service] = cached
        return cached[1]


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
