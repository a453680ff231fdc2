"""Choice of the upstream for a new flow, among those that a flow prefers."""

from collections.abc import Callable, Container, Sequence
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

# Reasons for which a flow is refused at once: the service has no upstreams that
# live, or those that live are evacuated.
REFUSED_NO_UPSTREAM = "no-upstream"
REFUSED_EVACUATED = "evacuated"

Agents = list[upstreams.Upstream]


class UpstreamChooser:
    """Chooses upstreams, and caches what would be costly for each flow."""

    __slots__ = (
        "_agent_table",
        "_assume_mean",
        "_cache",
        "_evacuated",
        "_failure_domain",
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
        # Time of calculation, and flow density with the service time of
        # upstreams without a known one, by service.
        self._cache: dict[str, tuple[float, tuple[float, float]]] = {}

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
        exclusion = self.exclusion

        def usable(upstream: upstreams.Upstream) -> bool:
            return (
                upstream.record.host not in tried
                and not exclusion(now, upstream)
                and (
                    not with_free_slot or selection.has_free_slot(now, upstream)
                )
            )

        local, find_remote = self.preferred(key, service, usable)
        density, assumed_ms = self._means(now, service)
        domain, rng = self._failure_domain, self._rng
        chosen = selection.choose(
            recently_reported(now, local),
            lambda: recently_reported(now, find_remote()),
            domain,
            rng,
            density,
            assumed_ms,
        )
        if chosen is not None or not self.may_scan(now, service):
            return chosen
        if with_free_slot:
            # A scan would delay the next one for flows without an upstream.
            return None
        # Few of many agents accept flows, so none of the preferred ones does.
        self._next_scans[service] = now + SCAN_INTERVAL_S
        agents = self._agent_table.for_services((service,))
        accepting = [upstream for upstream in agents if usable(upstream)]
        if len(accepting) > MAX_CANDIDATES:
            accepting = rng.sample(accepting, MAX_CANDIDATES)
        local, remote = self.split_by_domain(accepting)
        return selection.choose(
            local, lambda: remote, domain, rng, density, assumed_ms
        )

    def exclusion(self, now: float, upstream: upstreams.Upstream) -> str:
        """Returns why no new flow is offered to an upstream; empty if some are.

        The reason is one of the ``EXCLUDED`` constants of ``upstreams``.  All
        steps of the choice, and its explanation, judge upstreams by this.
        """
        if upstream.record.failure_domain in self._evacuated:
            return upstreams.EXCLUDED_EVACUATED
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
        """Returns why no agent of a service will accept a flow, or ""."""
        if not self._agent_table.complete:
            return ""
        evacuated = False
        for upstream in self._agent_table.for_services((service,)):
            if upstream.record.failure_domain in self._evacuated:
                evacuated = True
            elif not upstream.lost(now):
                return ""
        return REFUSED_EVACUATED if evacuated else REFUSED_NO_UPSTREAM

    def peek_means(self, now: float, service: str) -> tuple[float, float]:
        """Returns the flow density and service time that a choice would use.

        Caches nothing and draws no random number: in a service with more than
        ``FLOW_DENSITY_SAMPLE`` agents and without cached values, they are those
        of all agents instead of a sample.

        Returns:
            Mean flow density, and the service time of upstreams whose own is
            unknown, ms.
        """
        cached = self._cached_means(now, service)
        if cached is not None:
            return cached
        agents = list(self._agent_table.for_services((service,)))
        return self._calculate_means(now, agents)

    def _means(self, now: float, service: str) -> tuple[float, float]:
        """Returns what ``peek_means`` returns, from a sample; caches it."""
        means = self._cached_means(now, service)
        if means is None:
            agents = list(self._agent_table.for_services((service,)))
            if len(agents) > FLOW_DENSITY_SAMPLE:
                agents = self._rng.sample(agents, FLOW_DENSITY_SAMPLE)
            means = self._calculate_means(now, agents)
            self._cache[service] = now, means
        return means

    def _cached_means(
        self, now: float, service: str
    ) -> tuple[float, float] | None:
        cached = self._cache.get(service)
        if cached is None or now - cached[0] > FLOW_DENSITY_INTERVAL_S:
            return None
        return cached[1]

    def _calculate_means(
        self, now: float, agents: Sequence[upstreams.Upstream]
    ) -> tuple[float, float]:
        """Returns the flow density and the mean service time of agents.

        Upstreams of evacuated domains are left out: they keep fewer and fewer
        flows, and all others would seem to have more than their share.
        """
        live = [
            upstream
            for upstream in agents
            if upstream.record.failure_domain not in self._evacuated
            and not upstream.silent(now)
        ]
        assumed_ms = selection.DEFAULT_SERVICE_MS
        if self._assume_mean:
            assumed_ms = selection.mean_service_ms(live)
        return selection.flow_density(live, assumed_ms), assumed_ms


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
