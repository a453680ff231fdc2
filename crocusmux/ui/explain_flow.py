"""Command that explains where a forwarding balancer would place a new flow."""

from typing import ClassVar

from cleo import helpers

from crocusmux import fleet
from crocusmux.core.forward import explanation
from crocusmux.ui import base

_HEADS = (
    "HOST",
    "DOMAIN",
    "LOAD",
    "SLOTS",
    "FLOWS",
    "SERVICE MS",
    "ANSWER MS",
    "REPORT AGE",
    "CHOICE",
)


class ExplainFlow(base.Command):
    """Explains where a forwarding balancer would place a new flow."""

    name = "explain-flow"
    description = "Show where a balancer would place a new flow now, and why."
    arguments: ClassVar = [
        helpers.argument("balancer", "Control address of the balancer."),
        helpers.argument("address", "Address of the route, ip:port."),
        helpers.argument("caller", "Address of the caller, ip:port."),
    ]
    options: ClassVar = [base.JSON]

    def handle(self) -> int:
        """Runs the command and returns its exit status."""
        return self.run_coroutine(self._ask_and_print())

    async def _ask_and_print(self) -> int:
        found = await fleet.explain_flow(
            self.value("balancer"), self.value("address"), self.value("caller")
        )
        if self.option("json"):
            self.print_json(found)
            return base.DONE
        self.print_line(f"route {found.route}, version {found.version}")
        if found.known_hosts:
            hosts = ", ".join(found.known_hosts)
            self.print_line(f"a flow of these addresses is known at {hosts}")
        for service in found.services:
            self._print_service(service)
        return base.DONE

    def _print_service(self, service: explanation.ServiceExplanation) -> None:
        reason = f" ({service.reason})" if service.reason else ""
        self.print_line(
            f"service {service.service}, share {service.share:.1%}: "
            f"{service.outcome}{reason}"
        )
        if service.free_slot_first:
            self.print_line(
                "the first offer needs a free slot: an agent without one "
                "declines it, and the flow is offered to another agent"
            )
        if service.hosts:
            self.print_rows(_HEADS, map(_row, service.hosts))
        if service.omitted:
            self.print_line(f"{service.omitted} more upstreams are not listed")


def _row(host: explanation.HostExplanation) -> tuple[str, ...]:
    age_s = host.report_age_s
    chance = host.probability
    return (
        host.host,
        host.failure_domain,
        f"{host.in_progress:.1f}+{host.unreported_offers}",
        str(host.slots),
        str(host.flows),
        f"{host.service_ms:.1f}",
        f"{host.answer_ms:.1f}",
        "-" if age_s is None else f"{age_s:.2f} s",
        host.excluded or ("possible" if chance is None else f"{chance:.1%}"),
    )


COMMANDS = (ExplainFlow,)
