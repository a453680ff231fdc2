"""Subscriptions of a balancer to the load reports of agents."""

from collections.abc import Iterable
import functools
import math

from crocusmux.core.forward import agent_table
from crocusmux.core.forward import evacuations
from crocusmux.core.forward import outputs
from crocusmux.core.forward import report_schedule
from crocusmux.core.forward import reports
from crocusmux.core.forward import routes
from crocusmux.core.forward import upstreams

# Interval between two subscriptions to an agent's reports; longer with many
# agents, to keep to the limit of subscriptions.
SUBSCRIBE_INTERVAL_S = 2.0
MAX_SUBSCRIPTIONS_PER_S = 10
# The same while a report is overdue, as a restarted agent has no subscribers.  It
# is short at first, since after a loss of power flows wait for the first reports.
MIN_RESUBSCRIBE_INTERVAL_S = 0.1
MAX_RESUBSCRIBE_INTERVAL_S = 0.5
# Time without a report after which the longer interval applies.
FAST_RESUBSCRIBE_S = 3.0
# Limit of these subscriptions in a large fleet without any reports.
MAX_RESUBSCRIPTIONS_PER_S = 2_500
# Interval between two subscriptions to an agent whose record in the store is
# lost, until it has written it again; shorter than the subscribe interval of a
# large fleet.
RECORD_LOST_INTERVAL_S = 2.0
# Times after a change of evacuations at which the agents concerned are told again,
# as datagrams get lost, seconds.
EVACUATION_RESENDS_S = (0.25, 0.5)
# Validity of a subscription in subscribe intervals, as datagrams get lost.
SUBSCRIPTION_INTERVALS = 5

Messages = list[outputs.ToPeer]


class Subscriptions:
    """Schedules a balancer's subscriptions to its agents."""

    __slots__ = (
        "_address",
        "_agent_table",
        "_config_source",
        "_evacuated",
        "_evacuation_resends",
        "_host",
        "_next_record_check_at",
        "_next_resubscribe_at",
        "_next_slow_resubscribe_at",
        "_next_subscribe_at",
        "_now",
        "_routes",
    )

    def __init__(
        self,
        host: str,
        address: tuple[str, int],
        config_source: str,
        agents: agent_table.AgentTable,
        route_table: routes.RouteTable,
        evacuated: evacuations.EvacuatedDomains,
    ) -> None:
        """Creates the schedule; all subscriptions are due at once.

        Args:
            host: Name of the balancer's host.
            address: Address to which agents send reports.
            config_source: Address that serves the balancer's configuration.
            agents: All agents.
            route_table: The configuration in force.
            evacuated: Failure domains whose upstreams get no new flows.
        """
        self._host = host
        self._address = address
        self._config_source = config_source
        self._agent_table = agents
        self._routes = route_table
        self._evacuated = evacuated
        # Times at which the agents of some domains are told again.
        self._evacuation_resends: list[tuple[float, set[str]]] = []
        # Time of the last call of pop_due or tell_evacuations, seconds; the ages
        # in DomainState refer to it.
        self._now = 0.0
        self._next_subscribe_at = 0.0
        self._next_resubscribe_at = 0.0
        self._next_slow_resubscribe_at = 0.0
        self._next_record_check_at = 0.0

    def pop_due(self, now: float) -> Messages:
        """Returns the subscriptions that are due, and schedules the next."""
        self._now = now
        due = self._resend_evacuations(now)
        if now >= self._next_subscribe_at:
            self._next_subscribe_at = now + self._subscribe_interval_s()
            self._schedule_resubscription(now)
            self._next_record_check_at = now + RECORD_LOST_INTERVAL_S
            return self.make(self._agent_table.all())
        if now >= self._next_resubscribe_at:
            due += self._resubscribe(now)
            self._schedule_resubscription(now)
        if now >= self._next_record_check_at:
            self._next_record_check_at = now + RECORD_LOST_INTERVAL_S
            agents = self._agent_table.all()
            due += self.make(x for x in agents if x.record_lost_at())
        return due

    def tell_evacuations(self, now: float, domains: list[str]) -> Messages:
        """Returns subscriptions to the agents of domains that have changed."""
        self._now = now
        if not domains:
            return []
        changed = set(domains)
        for delay_s in EVACUATION_RESENDS_S:
            self._evacuation_resends.append((now + delay_s, changed))
        self._evacuation_resends.sort(key=lambda entry: entry[0])
        return self._make_for_domains(changed)

    def _resend_evacuations(self, now: float) -> Messages:
        due: Messages = []
        resends = self._evacuation_resends
        while resends and resends[0][0] <= now:
            due += self._make_for_domains(resends.pop(0)[1])
        return due

    def _make_for_domains(self, domains: set[str]) -> Messages:
        agents = self._agent_table.all()
        return self.make(
            x for x in agents if x.record.failure_domain in domains
        )

    def make(
        self, agents: Iterable[upstreams.Upstream], report_now: bool = False
    ) -> Messages:
        """Returns subscriptions to agents.

        Args:
            agents: The agents.
            report_now: True if they report at once.
        """
        table = self._agent_table
        local_s, remote_s = report_schedule.report_intervals_s(
            table.local_count(), len(table) - table.local_count()
        )
        # Whole seconds take fewer bytes.
        valid_s = math.ceil(
            SUBSCRIPTION_INTERVALS * self._subscribe_interval_s()
        )
        idle_s = math.ceil(self._routes.idle_s)

        # Few different subscriptions go to many agents.
        @functools.cache
        def subscription(
            is_local: bool,
            warmup_per_s: float,
            record_lost_at: int,
            domain: str,
        ) -> reports.Subscribe:
            return reports.Subscribe(
                self._host,
                self._address,
                self._routes.version,
                self._config_source,
                valid_s,
                local_s if is_local else remote_s,
                report_now,
                compact=True,
                warmup_per_s=warmup_per_s,
                idle_s=idle_s,
                record_lost_at=record_lost_at,
                domain_state=self._evacuated.state(self._now, domain),
            )

        return [
            outputs.ToPeer(
                upstream.record.control,
                subscription(
                    table.is_local(upstream.record),
                    self._routes.warmup_per_s(upstream.record.service),
                    upstream.record_lost_at(),
                    upstream.record.failure_domain,
                ),
            )
            for upstream in agents
        ]

    def _subscribe_interval_s(self) -> float:
        agent_count = len(self._agent_table)
        return max(SUBSCRIBE_INTERVAL_S, agent_count / MAX_SUBSCRIPTIONS_PER_S)

    def _resubscribe(self, now: float) -> Messages:
        """Subscribes again to agents whose report is overdue."""
        agents = self._agent_table.all()
        overdue = [upstream for upstream in agents if upstream.overdue(now)]
        if now >= self._next_slow_resubscribe_at:
            self._next_slow_resubscribe_at = now + MAX_RESUBSCRIBE_INTERVAL_S
        else:
            overdue = [
                upstream
                for upstream in overdue
                if upstream.silent_for_s(now) <= FAST_RESUBSCRIBE_S
            ]
        return self.make(overdue, report_now=True)

    def _schedule_resubscription(self, now: float) -> None:
        interval_s = len(self._agent_table) / MAX_RESUBSCRIPTIONS_PER_S
        interval_s = max(interval_s, MIN_RESUBSCRIBE_INTERVAL_S)
        self._next_resubscribe_at = now + min(
            interval_s, MAX_RESUBSCRIBE_INTERVAL_S
        )
