"""Seeded run of a small control fleet under faults, with a final check."""

import random

import msgspec

from bench import control_fleet as fleet
from bench import driver
from crocusmux import objects
from crocusmux.core.control import membership_messages

DOMAINS = (("fd0", "r0"), ("fd1", "r0"), ("fd2", "r1"))
BALANCERS = 3
AGENTS = 9
SERVICES = 4
FAULT_PERIOD_S = 150.0
SETTLE_PERIOD_S = 200.0


class Result(msgspec.Struct):
    """Result of a run; all but ``accepted`` and ``writes`` must be 0.

    Attributes:
        reverts: States or versions that moved back at some daemon.
        lost_changes: Accepted changes missing at some daemon at the end.
        double_changes: States that an agent incarnation entered twice.
        revived: Replaced or ended incarnations in the final memberships.
        accepted: Changes that the platform accepted.
        writes: Platform writes.
    """

    reverts: int = 0
    lost_changes: int = 0
    double_changes: int = 0
    revived: int = 0
    accepted: int = 0
    writes: int = 0


class FaultRun:
    """Fleet, operators and faults of one seed."""

    def __init__(self, seed: int) -> None:
        self.drv = driver.Driver(seed)
        self.rng = random.Random(seed + 1)
        self.fleet = fleet.Fleet(self.drv)
        self.fleet.check_all_reverts = True
        self.agents: dict[str, fleet.Node] = {}
        self.balancers: list[fleet.Node] = []
        self.accepted: list[tuple[str, int]] = []

    def schedule(self, delay_s: float, action) -> None:  # type: ignore[no-untyped-def]
        """Schedules an action at a time after the start of the faults."""
        self.drv.after(delay_s, action)

    def make_record(
        self, node: fleet.Node, state: objects.UpstreamState
    ) -> membership_messages.HostRecord:
        """Returns an agent's host record with all upstreams in a state."""
        row = node.row
        index = int(row.name.removeprefix("a"))
        services = {f"s{index % SERVICES}", f"s{(index + 1) % SERVICES}"}
        upstreams = tuple(
            membership_messages.ServiceUpstream(
                service,
                objects.Upstream(
                    name=f"{row.name}-{service}",
                    address="127.0.0.1:9000",
                    state=state,
                ),
            )
            for service in sorted(services)
        )
        return membership_messages.HostRecord(
            host=row.name,
            failure_domain=row.failure_domain,
            agent="127.0.0.1:7001",
            relay="127.0.0.1:7002",
            control=row.control,
            incarnation=row.incarnation,
            upstreams=upstreams,
        )

    def announce(self, node: fleet.Node, state: objects.UpstreamState) -> None:
        """Announces an agent's upstreams in a state."""
        if node.up:
            record = self.make_record(node, state)
            node.record = record
            node.act(lambda: node.plane.announce(self.drv.now, record))

    def start_agent(self, index: int) -> None:
        """Starts an agent whose upstreams join, warm up and become ready."""
        name = f"a{index}"
        domain, region = DOMAINS[index % len(DOMAINS)]
        node = self.fleet.add(name, "agent", domain, region)
        self.agents[name] = node
        self.announce(node, "joining")
        self.drv.after(1.0, lambda: self.announce(node, "warming"))
        self.drv.after(3.0, lambda: self.announce(node, "ready"))

    def restart(self, name: str) -> None:
        """Restarts an agent after its upstreams have drained and gone."""
        node = self.agents[name]
        if not node.up or node.paused is not None:
            return
        node.act(lambda: node.plane.drain(self.drv.now))
        self.drv.after(4.0, lambda: self.announce(node, "gone"))
        self.drv.after(6.0, lambda: self.replace(name, node))

    def replace(self, name: str, node: fleet.Node) -> None:
        """Ends an agent and starts its successor under the same name."""
        if self.agents[name] is node:
            self.fleet.stop(node)
            self.start_agent(int(name[1:]))

    def crash(self, name: str) -> None:
        """Crashes an agent, which is reported as suspect and restarts later."""
        node = self.agents[name]
        if not node.up or node.paused is not None:
            return
        self.fleet.stop(node)
        self.schedule_suspect_reports(node)
        restart_delay_s = self.rng.choice([3.0, 20.0, 70.0])
        self.drv.after(restart_delay_s, lambda: self.replace(name, node))

    def schedule_suspect_reports(self, node: fleet.Node) -> None:
        """Makes all other daemons report an agent as suspect, three times."""
        for other in [*self.balancers, *self.agents.values()]:
            if other is node:
                continue
            for attempt in range(3):
                self.drv.after(
                    attempt * 2.5 + self.rng.uniform(0, 1),
                    lambda other=other: other.act(  # type: ignore[misc]
                        lambda: other.plane.report_suspect(
                            self.drv.now, node.row.name, node.row.incarnation
                        )
                    ),
                )

    def pause(self, name: str) -> None:
        """Pauses an agent, which may be suspected or replaced meanwhile."""
        node = self.agents[name]
        if not node.up or node.paused is not None:
            return
        node.paused = []
        duration_s = self.rng.choice([2.0, 12.0, 45.0])
        self.drv.after(duration_s, node.resume)
        if self.rng.random() < 0.4:
            self.schedule_suspect_reports(node)
        if self.rng.random() < 0.3:
            # The successor takes over the name, and the paused process still
            # runs for 20 s after its pause.
            def start_successor() -> None:
                if self.agents[name] is node:
                    self.start_agent(int(name[1:]))

            self.drv.after(duration_s * 0.5, start_successor)
            self.drv.after(duration_s + 20.0, lambda: self.fleet.stop(node))

    def switch_preset(self, operator: int) -> None:
        """Switches the preset by a conditional write, as an operator does."""
        platform = self.fleet.platform
        if platform.down:
            return
        current = platform.objects.get(objects.IN_FORCE_KEY)
        expected = current.version if current else 0
        name = f"p{operator}-{self.drv.now:.0f}"
        body = objects.encode(
            objects.PresetInForce(
                preset=objects.Preset(name=name), operation=name
            )
        )
        delay = self.rng.uniform(0.0, 0.05)

        def write() -> None:
            version = platform.write(objects.IN_FORCE_KEY, body, expected)
            if version is not None:
                self.accepted.append((objects.IN_FORCE_KEY, version))

        self.drv.after(delay, write)

    def schedule_faults(self) -> None:
        """Schedules the faults of this seed."""
        rng, platform = self.rng, self.fleet.platform
        self.fleet.loss = rng.choice([0.0, 0.02, 0.1])
        self.fleet.duplicate = rng.choice([0.0, 0.05])
        self.fleet.delay = rng.choice([0.0, 0.02])
        platform.lose_answer = rng.choice([0.0, 0.2, 0.5])
        for _ in range(rng.randint(1, 3)):
            begin_s, duration_s = rng.uniform(0, 100), rng.uniform(1, 40)

            def set_outage(down: bool) -> None:
                platform.down = down

            self.schedule(begin_s, lambda: set_outage(True))
            self.schedule(begin_s + duration_s, lambda: set_outage(False))
        if rng.random() < 0.5:
            begin_s, duration_s = rng.uniform(0, 80), rng.uniform(5, 60)

            def set_split(on: bool) -> None:
                self.fleet.split = on

            self.schedule(begin_s, lambda: set_split(True))
            self.schedule(begin_s + duration_s, lambda: set_split(False))
        for kind in (self.restart, self.restart, self.crash, self.pause):
            for _ in range(rng.randint(1, 4)):
                name = f"a{rng.randrange(AGENTS)}"
                self.schedule(
                    rng.uniform(0, FAULT_PERIOD_S - 20),
                    lambda kind=kind, name=name: kind(name),
                )
        for _ in range(10):
            delay_s = rng.uniform(0, FAULT_PERIOD_S)
            for operator in range(rng.randint(1, 2)):
                self.schedule(delay_s, lambda o=operator: self.switch_preset(o))

    def end_faults(self) -> None:
        """Ends all faults and restarts the agents that are down."""
        platform = self.fleet.platform
        platform.down = self.fleet.split = False
        platform.lose_answer = 0.0
        self.fleet.loss = self.fleet.duplicate = self.fleet.delay = 0.0
        for name, node in self.agents.items():
            if node.paused is not None:
                node.resume()
            if not node.up:
                self.start_agent(int(name[1:]))

    def check(self) -> Result:
        """Returns the violations in the final state, and the change counts."""
        platform = self.fleet.platform
        result = Result(reverts=self.fleet.reverts)
        result.double_changes = fleet.repeated_transitions(platform.log)
        result.writes = len(platform.log)
        result.accepted = len(self.accepted) + len(platform.log)
        live_nodes = [
            n for n in [*self.balancers, *self.agents.values()] if n.up
        ]
        for node in live_nodes:
            for key, versioned in platform.objects.items():
                version = node.store.version(key)
                result.lost_changes += version < versioned.version
        for name, node in self.agents.items():
            memberships = node.plane.memberships
            result.lost_changes += (
                not memberships.is_reflected() or memberships.replaced
            )
            own_incarnation = (
                memberships.record.incarnation if memberships.record else 0
            )
            for key, versioned in platform.objects.items():
                if not key.startswith(objects.MEMBERSHIP_PREFIX):
                    continue
                final_membership = objects.decode(versioned)
                assert isinstance(final_membership, objects.Membership)
                result.revived += sum(
                    member.host == name
                    and member.incarnation != own_incarnation
                    for member in final_membership.members
                )
        return result


def run(seed: int) -> Result:
    """Runs the fleet under the faults of a seed and checks the result."""
    fault_run = FaultRun(seed)
    for index in range(BALANCERS):
        domain, region = DOMAINS[index]
        name = f"b{index}"
        node = fault_run.fleet.add(name, "balancer", domain, region)
        fault_run.balancers.append(node)
    for index in range(AGENTS):
        fault_run.start_agent(index)
    fault_run.drv.run(fault_run.drv.now + 20)
    fault_run.schedule_faults()
    fault_run.drv.run(fault_run.drv.now + FAULT_PERIOD_S)
    fault_run.end_faults()
    fault_run.drv.run(fault_run.drv.now + SETTLE_PERIOD_S)
    return fault_run.check()
