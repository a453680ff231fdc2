"""Changes of a balancer's agents, with their events and subscriptions."""

from crocusmux.core.forward import agent_table
from crocusmux.core.forward import liveness
from crocusmux.core.forward import outputs
from crocusmux.core.forward import reports
from crocusmux.core.forward import subscriptions
from crocusmux.core.forward import upstreams

Outputs = list[outputs.Output]


class AgentChanges:
    """Adds and removes the agents of a balancer by their records."""

    __slots__ = ("_agent_table", "_liveness", "_subscriptions")

    def __init__(
        self,
        agents: agent_table.AgentTable,
        schedule: subscriptions.Subscriptions,
        monitor: liveness.Liveness,
    ) -> None:
        """Changes a table, and subscribes to the agents that it adds."""
        self._agent_table = agents
        self._subscriptions = schedule
        self._liveness = monitor

    def add(
        self, now: float, record: upstreams.AgentRecord, revision: int
    ) -> Outputs:
        """Adds or replaces an agent, and subscribes to its reports.

        The arguments are those of ``AgentTable.register``.
        """
        upstream = self._agent_table.register(now, record, revision)
        if upstream is None:
            return []
        detail = f"agent={record.host} service={record.service}"
        return self._announce("agent-added", detail, upstream)

    def remove(self, host: str) -> Outputs:
        """Removes an agent."""
        if not self._agent_table.remove(host):
            return []
        return [outputs.Event("agent-removed", b"", f"agent={host}", True)]

    def _remove_gone(self, now: float, host: str, revision: int) -> Outputs:
        """Removes an agent; see ``AgentTable.remove_gone``."""
        if not self._agent_table.remove_gone(now, host, revision):
            return []
        return [outputs.Event("agent-removed", b"", f"agent={host}", True)]

    def on_record_gone(self, now: float, host: str, revision: int) -> Outputs:
        """Removes an agent whose record is gone, unless it still reports.

        An agent that reports is told and asked for a report, and is kept until
        it counts as lost.

        Args:
            now: Time in seconds.
            host: Name of the agent's host.
            revision: Revision of the store in which the record is missing.
        """
        upstream = self._agent_table.get(host)
        if upstream is None:
            return self._remove_gone(now, host, revision)
        if revision < upstream.revision:
            return []
        if upstream.report is None or upstream.lost(now):
            return self._remove_gone(now, host, revision)
        known = upstream.gone_at
        upstream.gone_at = max(known, revision)
        if known:
            return []
        detail = f"agent={host} revision={revision}"
        self._liveness.on_record_gone(upstream)
        upstream.record_request(now)
        return self._announce("record-gone", detail, upstream, report_now=True)

    def withdraw(self, now: float, message: reports.Withdrawn) -> Outputs:
        """Counts an agent that has exited permanently as lost.

        Returns:
            The event; nothing if the message changes nothing.
        """
        host = message.host
        if not self._agent_table.withdraw(now, host, message.incarnation):
            return []
        sent: Outputs = [
            outputs.Event("agent-withdrawn", b"", f"agent={host}", True)
        ]
        upstream = self._agent_table.get(host)
        if upstream is not None and upstream.gone_at:
            sent += self._remove_gone(now, host, upstream.gone_at)
        return sent

    def restore(self, now: float, host: str, incarnation: int) -> Outputs:
        """Restores an agent that reports and whose address was taken.

        See ``AgentTable.restore``.
        """
        upstream = self._agent_table.restore(now, host, incarnation)
        if upstream is None:
            return []
        detail = f"agent={host} service={upstream.record.service}"
        return self._announce("agent-restored", detail, upstream)

    def remove_lost(self, now: float) -> Outputs:
        """Removes the agents without a record that count as lost by now."""
        self._agent_table.forget_removed(now)
        sent: Outputs = []
        for upstream in self._agent_table.all():
            if upstream.gone_at and upstream.lost(now):
                host = upstream.record.host
                sent += self._remove_gone(now, host, upstream.gone_at)
        return sent

    def _announce(
        self,
        what: str,
        detail: str,
        upstream: upstreams.Upstream,
        report_now: bool = False,
    ) -> Outputs:
        """Returns an event, and a subscription to the agent."""
        return [
            outputs.Event(what, b"", detail, True),
            *self._subscriptions.make([upstream], report_now),
        ]
