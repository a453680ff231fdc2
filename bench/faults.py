"""Seeded run of a small fleet under faults, with checks at the end."""

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
FAULTS_S = 150.0
SETTLE_S = 200.0


class Result(msgspec.Struct):
    """What a run found; all but ``accepted`` and ``writes`` must be 0.

    Attributes:
        reverts: States or versions that moved back at some daemon.
        lost_changes: Accepted changes that some daemon lacks at the end.
        double_changes: States that an incarnation entered twice.
        revived: Replaced or ended incarnations in the final memberships.
        accepted: Accepted changes.
        writes: Platform writes.
    """

    reverts: int = 0
    lost_changes: int = 0
    double_changes: int = 0
    revived: int = 0
    accepted: int = 0
    writes: int = 0


class Run:
    """One run."""

    def __init__(self, seed: int) -> None:
        self.run = driver.Driver(seed)
        self.rng = random.Random(seed + 1)
        self.fleet = fleet.Fleet(self.run)
        self.fleet.check_all = True
        self.agents: dict[str, fleet.Node] = {}
        self.balancers: list[fleet.Node] = []
        self.accepted: list[tuple[str, int]] = []

    def at(self, when: float, action) -> None:  # type: ignore[no-untyped-def]
        """Schedules an action at a time after the start of the faults."""
        self.run.after(when, action)

    def record(
        self, node: fleet.Node, state: objects.State
    ) -> membership_messages.HostRecord:
        """Returns an agent's record with all upstreams in a state."""
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

    def announce(self, node: fleet.Node, state: objects.State) -> None:
        """Announces an agent's upstreams in a state."""
        if node.up:
            record = self.record(node, state)
            node.record = record
            node.act(lambda: node.plane.announce(self.run.now, record))

    def start_agent(self, index: int) -> None:
        """Starts an agent that joins, warms and becomes ready."""
        name = f"a{index}"
        domain, region = DOMAINS[index % len(DOMAINS)]
        node = self.fleet.add(name, "agent", domain, region)
        self.agents[name] = node
        self.announce(node, "joining")
        self.run.after(1.0, lambda: self.announce(node, "warming"))
        self.run.after(3.0, lambda: self.announce(node, "ready"))

    def restart(self, name: str) -> None:
        """Plans a stop: drains, leaves, and starts again."""
        node = self.agents[name]
        if not node.up or node.paused is not None:
            return
        node.act(lambda: node.plane.drain(self.run.now))
        self.run.after(4.0, lambda: self.announce(node, "gone"))
        self.run.after(6.0, lambda: self.replace(name, node))

    def replace(self, name: str, node: fleet.Node) -> None:
        """Ends an agent and starts its successor under the same name."""
        if self.agents[name] is node:
            self.fleet.stop(node)
            self.start_agent(int(name[1:]))

    def crash(self, name: str) -> None:
        """Ends an agent at once; others report it; it starts again later."""
        node = self.agents[name]
        if not node.up or node.paused is not None:
            return
        self.fleet.stop(node)
        self.suspect(node)
        wait = self.rng.choice([3.0, 20.0, 70.0])
        self.run.after(wait, lambda: self.replace(name, node))

    def suspect(self, node: fleet.Node) -> None:
        """Lets all others report an agent, three times."""
        for other in [*self.balancers, *self.agents.values()]:
            if other is node:
                continue
            for turn in range(3):
                self.run.after(
                    turn * 2.5 + self.rng.uniform(0, 1),
                    lambda other=other: other.act(  # type: ignore[misc]
                        lambda: other.plane.report_suspect(
                            self.run.now, node.row.name, node.row.incarnation
                        )
                    ),
                )

    def pause(self, name: str) -> None:
        """Pauses an agent; it may be replaced meanwhile."""
        node = self.agents[name]
        if not node.up or node.paused is not None:
            return
        node.paused = []
        length = self.rng.choice([2.0, 12.0, 45.0])
        self.run.after(length, node.resume)
        if self.rng.random() < 0.4:
            self.suspect(node)
        if self.rng.random() < 0.3:
            # The successor takes the name; the paused process ends only
            # after it has run on for a while.
            def take_over() -> None:
                if self.agents[name] is node:
                    self.start_agent(int(name[1:]))

            self.run.after(length * 0.5, take_over)
            self.run.after(length + 20.0, lambda: self.fleet.stop(node))

    def configure(self, operator: int) -> None:
        """Two operators switch presets; a lost answer is read back."""
        platform = self.fleet.platform
        if platform.down:
            return
        known = platform.objects.get(objects.IN_FORCE_KEY)
        expected = known.version if known else 0
        name = f"p{operator}-{self.run.now:.0f}"
        body = objects.encode(
            objects.InForce(preset=objects.Preset(name=name), operation=name)
        )
        delay = self.rng.uniform(0.0, 0.05)

        def write() -> None:
            version = platform.write(objects.IN_FORCE_KEY, body, expected)
            if version is not None:
                self.accepted.append((objects.IN_FORCE_KEY, version))

        self.run.after(delay, write)

    def faults(self) -> None:
        """Schedules the faults of this seed."""
        rng, platform = self.rng, self.fleet.platform
        self.fleet.loss = rng.choice([0.0, 0.02, 0.1])
        self.fleet.duplicate = rng.choice([0.0, 0.05])
        self.fleet.delay = rng.choice([0.0, 0.02])
        platform.lose_answer = rng.choice([0.0, 0.2, 0.5])
        for _ in range(rng.randint(1, 3)):
            begin, length = rng.uniform(0, 100), rng.uniform(1, 40)

            def outage(down: bool) -> None:
                platform.down = down

            self.at(begin, lambda: outage(True))
            self.at(begin + length, lambda: outage(False))
        if rng.random() < 0.5:
            begin, length = rng.uniform(0, 80), rng.uniform(5, 60)

            def split(on: bool) -> None:
                self.fleet.split = on

            self.at(begin, lambda: split(True))
            self.at(begin + length, lambda: split(False))
        for kind in (self.restart, self.restart, self.crash, self.pause):
            for _ in range(rng.randint(1, 4)):
                name = f"a{rng.randrange(AGENTS)}"
                self.at(
                    rng.uniform(0, FAULTS_S - 20),
                    lambda kind=kind, name=name: kind(name),
                )
        for _ in range(10):
            when = rng.uniform(0, FAULTS_S)
            for operator in range(rng.randint(1, 2)):
                self.at(when, lambda o=operator: self.configure(o))

    def settle(self) -> None:
        """Ends all faults."""
        platform = self.fleet.platform
        platform.down = self.fleet.split = False
        platform.lose_answer = 0.0
        self.fleet.loss = self.fleet.duplicate = self.fleet.delay = 0.0
        for name, node in self.agents.items():
            if node.paused is not None:
                node.resume()
            if not node.up:
                self.start_agent(int(name[1:]))

    def result(self) -> Result:
        """Checks the final state."""
        platform = self.fleet.platform
        result = Result(reverts=self.fleet.reverts)
        result.double_changes = fleet.repeated_transitions(platform.log)
        result.writes = len(platform.log)
        result.accepted = len(self.accepted) + len(platform.log)
        live = [n for n in [*self.balancers, *self.agents.values()] if n.up]
        for node in live:
            for key, versioned in platform.objects.items():
                known = node.store.version(key)
                result.lost_changes += known < versioned.version
        for name, node in self.agents.items():
            core = node.plane.memberships
            result.lost_changes += not core.is_reflected() or core.replaced
            own = core.record.incarnation if core.record else 0
            for key, versioned in platform.objects.items():
                if not key.startswith(objects.MEMBERSHIP_PREFIX):
                    continue
                found = objects.decode(versioned)
                assert isinstance(found, objects.Membership)
                result.revived += sum(
                    member.host == name and member.incarnation != own
                    for member in found.members
                )
        return result


def run(seed: int) -> Result:
    """Runs a seed."""
    scene = Run(seed)
    for index in range(BALANCERS):
        domain, region = DOMAINS[index]
        name = f"b{index}"
        node = scene.fleet.add(name, "balancer", domain, region)
        scene.balancers.append(node)
    for index in range(AGENTS):
        scene.start_agent(index)
    scene.run.run(scene.run.now + 20)
    scene.faults()
    scene.run.run(scene.run.now + FAULTS_S)
    scene.settle()
    scene.run.run(scene.run.now + SETTLE_S)
    return scene.result()
