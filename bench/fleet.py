"""Agents, balancers and callers in virtual time around the real agent core.

The fleet checks the invariants as it goes: it knows what each upstream was
given and what each caller was told.  Balancers are reduced to what the
protocol needs of them: they send by the slot table of the membership that
they know, repeat ``Open``, and attach once.
"""

from collections.abc import Callable, Mapping
import random
from typing import Any

import msgspec

from bench import driver
from crocusmux import messages
from crocusmux import objects
from crocusmux.core.control import config_store
from crocusmux.core.flows import agent
from crocusmux.core.flows import outputs
from crocusmux.core.flows import slots

Address = tuple[str, int]

SERVICES = ("rounds", "wheelbook")
CLASSES = (
    objects.WorkClass(name="feed", kind="long", urgency=1),
    objects.WorkClass(name="booking", kind="request", urgency=0),
    objects.WorkClass(
        name="lookup", kind="request", urgency=2, idempotent=True
    ),
)
LATENCY_S = 0.001
OPEN_AGAIN_S = 0.2
OPEN_TRIES = 6


class Caller:
    """One flow as its caller and its balancer see it.

    Attributes:
        flow: Flow id.
        service: Name of the service.
        work: Name of the work class.
        balancer: Balancer that the next packet goes through.
        holder: Host that the flow was attached to or first ran on.
        incarnation: Placement that a TCP flow attached to.
        state: ``"opening"``, ``"open"``, ``"refused"``, ``"unknown"``,
            ``"done"`` or ``"broken"``.
        tries: Transmissions of ``Open``.
        sent: Datagrams sent.
        long: True for a flow that is to survive all planned changes.
    """

    __slots__ = (
        "balancer",
        "flow",
        "holder",
        "incarnation",
        "long",
        "sent",
        "service",
        "state",
        "tries",
        "work",
    )

    def __init__(self, flow: bytes, service: str, work: str) -> None:
        self.flow = flow
        self.service = service
        self.work = work
        self.balancer = 0
        self.holder = ""
        self.incarnation = 0
        self.state = "opening"
        self.tries = 0
        self.sent = 0
        self.long = False


class Process:
    """One agent process.

    Attributes:
        host: Name of the host.
        core: The decision core.
        store: The configuration that this process knows.
        alive: False once it has crashed.
        paused_until: Until then inputs wait.
        open: Flows that its upstreams were given and still hold.
    """

    __slots__ = (
        "alive",
        "core",
        "host",
        "inbox",
        "incarnation",
        "open",
        "paused_until",
        "store",
        "wake_at",
    )

    def __init__(
        self, host: str, incarnation: int, core: agent.AgentCore
    ) -> None:
        self.host = host
        self.incarnation = incarnation
        self.core = core
        self.store = config_store.ConfigStore()
        self.alive = True
        self.paused_until = 0.0
        self.inbox: list[Callable[[], None]] = []
        self.open: dict[bytes, int] = {}
        self.wake_at: float | None = None


class Fleet:
    """A fleet of agents; see the module.

    Attributes:
        drv: Virtual time.
        procs: Running process of each host.
        callers: Flows by id.
        events: Inputs given to cores.
        ran_twice: Non-idempotent work given to upstreams more than once.
        false_not_run: Work refused as not run that did run.
        crossed: Answers that reached another flow, or an earlier placement.
        wrong_service: Work given to an upstream of another service.
        reverted: Times that a process' membership went back.
    """

    def __init__(
        self,
        drv: driver.Driver,
        hosts: Mapping[str, tuple[str, ...]],
        *,
        loss: float = 0.0,
        duplicate: float = 0.0,
        hash_slots: int = 128,
        window: float = 30.0,
        balancers: int = 2,
        spread_s: float = 0.2,
    ) -> None:
        self.drv = drv
        self.loss = loss
        self.duplicate = duplicate
        self.window = window
        self.spread_s = spread_s
        self.hash_slots = hash_slots
        self.balancers = [(f"10.9.0.{i}", 7000) for i in range(balancers)]
        self.procs: dict[str, Process] = {}
        self.by_address: dict[Address, str] = {}
        self.addresses: dict[str, Address] = {}
        self.callers: dict[bytes, Caller] = {}
        self.where: dict[tuple[bytes, bytes], str] = {}
        self.ran: dict[tuple[bytes, bytes], int] = {}
        self.events = 0
        self.hops = 0
        self.packets = 0
        self.ran_twice = 0
        self.false_not_run = 0
        self.crossed = 0
        self.wrong_service = 0
        self.reverted = 0
        self.versions: dict[str, int] = {}
        self.members: dict[str, dict[str, objects.Member]] = {
            name: {} for name in SERVICES
        }
        self.balancer_tables = [
            {name: slots.SlotTable(0, hash_slots) for name in SERVICES}
            for _ in self.balancers
        ]
        self.suspected: list[set[str]] = [set() for _ in self.balancers]
        self.trace: Callable[[str, Any], None] | None = None
        self.refused: set[tuple[bytes, bytes]] = set()
        self.spans: dict[str, float] = {}
        for host, served in hosts.items():
            self.start(host, served)
        for name in SERVICES:
            self.publish(name, at_once=True)

    # Membership.

    def start(self, host: str, served: tuple[str, ...]) -> Process:
        """Starts a process on a host and adds it to its services."""
        incarnation = self.drv.rng.getrandbits(32) | 1
        core = agent.AgentCore(
            host,
            incarnation,
            random.Random(self.drv.rng.getrandbits(64)),
            self.window,
        )
        proc = Process(host, incarnation, core)
        number = len(self.addresses)
        addr = self.addresses.setdefault(host, ("10.0.0.1", 1000 + number))
        self.by_address[addr] = host
        self.procs[host] = proc
        if any(self.versions.values()):
            # A restarted agent reads the configuration before it joins.
            for name in SERVICES:
                self._give(proc, name)
            self.call(proc, lambda: core.apply(self.drv.now, proc.store))
        for name in served:
            self.members[name][host] = objects.Member(
                host=host,
                failure_domain=f"d{number % 3}",
                agent=f"{addr[0]}:{addr[1]}",
                relay=f"{addr[0]}:{addr[1] + 30000}",
                incarnation=incarnation,
                upstreams=(
                    objects.Upstream(
                        name=f"{name}-{host}",
                        address=f"{name}:{host}:{incarnation}",
                        slots=64,
                        connections=100000,
                    ),
                ),
            )
        return proc

    def set_state(self, host: str, state: objects.State) -> None:
        """Changes the state of all upstreams of a host."""
        for name in SERVICES:
            member = self.members[name].get(host)
            if member is not None:
                ups = tuple(
                    msgspec.structs.replace(u, state=state)
                    for u in member.upstreams
                )
                self.members[name][host] = msgspec.structs.replace(
                    member, upstreams=ups
                )

    def forget(self, host: str) -> None:
        """Drops a host whose upstreams are gone from the memberships."""
        for name in SERVICES:
            self.members[name].pop(host, None)

    def publish(self, name: str, at_once: bool = False) -> None:
        """Writes a membership and spreads it to all processes."""
        self.versions[name] = self.versions.get(name, 0) + 1
        for proc in self.procs.values():
            delay = 0.0 if at_once else self.drv.rng.uniform(0, self.spread_s)
            self._spread(proc, name, delay)
        for i in range(len(self.balancers)):
            delay = 0.0 if at_once else self.drv.rng.uniform(0, self.spread_s)
            self._spread_balancer(i, name, delay)

    def _objects(self, name: str) -> list[objects.Versioned]:
        cfg = objects.Service(
            name=name,
            hash_slots=self.hash_slots,
            addresses=tuple(
                objects.ServiceAddress(
                    name=work.name,
                    protocol="udp",
                    port=1000 + i,
                    work_class=work.name,
                )
                for i, work in enumerate(CLASSES)
            ),
        )
        preset = objects.InForce(
            preset=objects.Preset(name="ordinary", classes=CLASSES)
        )
        membership = objects.Membership(
            service=name, members=tuple(self.members[name].values())
        )
        bodies = (
            (objects.SERVICE_PREFIX + name, 1, cfg),
            (objects.IN_FORCE_KEY, 1, preset),
            (
                objects.MEMBERSHIP_PREFIX + name,
                self.versions.get(name, 0),
                membership,
            ),
        )
        return [
            objects.Versioned(key, version, objects.encode(obj))
            for key, version, obj in bodies
            if version
        ]

    def _give(self, proc: Process, name: str) -> None:
        for versioned in self._objects(name):
            proc.store.apply_if_newer(versioned)

    def _spread(self, proc: Process, name: str, delay: float) -> None:
        news = self._objects(name)

        def take() -> None:
            before = proc.store.epoch(name)
            for versioned in news:
                proc.store.apply_if_newer(versioned)
            self.reverted += proc.store.epoch(name) < before
            self.call(proc, lambda: proc.core.apply(self.drv.now, proc.store))

        if delay:
            self.drv.after(delay, take)
        else:
            take()

    def _spread_balancer(self, index: int, name: str, delay: float) -> None:
        epoch = self.versions[name]
        owners = [
            m.host
            for m in self.members[name].values()
            if any(u.state in ("ready", "warming") for u in m.upstreams)
        ]

        def take() -> None:
            known = self.balancer_tables[index][name]
            if known.epoch < epoch:
                steps = slots.build_steps(
                    known if known.epoch else None,
                    epoch,
                    self.hash_slots,
                    owners,
                )
                self.balancer_tables[index][name] = slots.finish(steps)

        if delay:
            self.drv.after(delay, take)
        else:
            take()

    # Processes.

    def crash(self, host: str) -> list[Caller]:
        """Kills a process; returns the flows that lived on it."""
        proc = self.procs[host]
        proc.alive = False
        return [self.callers[f] for f in proc.open if f in self.callers]

    def pause(self, host: str, seconds: float) -> None:
        """Stops a process for a while; its messages wait."""
        proc = self.procs[host]
        proc.paused_until = self.drv.now + seconds
        self.drv.after(seconds, lambda: self._resume(proc))

    def _resume(self, proc: Process) -> None:
        inbox, proc.inbox = proc.inbox, []
        for action in inbox:
            action()
        self._wake(proc)

    def suspect(self, host: str, suspected: bool = True) -> None:
        """Lets every other process suspect a host, or clear it."""
        for known in self.suspected:
            known.add(host) if suspected else known.discard(host)
        for proc in self.procs.values():
            if proc.host != host and proc.alive:
                hosts = frozenset(self.suspected[0] - {proc.host})
                self._suspect(proc, hosts)

    def _suspect(self, proc: Process, hosts: frozenset[str]) -> None:
        self.call(proc, lambda: proc.core.suspect(self.drv.now, hosts))

    def call(self, proc: Process, action: Callable[[], list[Any]]) -> None:
        """Gives a core an input and carries out its outputs."""
        if not proc.alive:
            return
        if self.drv.now < proc.paused_until:
            proc.inbox.append(lambda: self.call(proc, action))
            return
        self.events += 1
        for output in action():
            self._act(proc, output)
        self._arm(proc)

    def _arm(self, proc: Process) -> None:
        due = proc.core.next_timer()
        if due is None or (proc.wake_at is not None and proc.wake_at <= due):
            return
        proc.wake_at = due
        self.drv.after(due - self.drv.now, lambda: self._wake(proc, due))

    def _wake(self, proc: Process, due: float | None = None) -> None:
        if due is not None and proc.wake_at != due:
            return
        proc.wake_at = None
        self.call(proc, lambda: proc.core.on_timer(self.drv.now))

    def _act(self, proc: Process, output: Any) -> None:
        if self.trace is not None:
            self.trace(proc.host, output)
        if type(output) is messages.Send:
            addr = self.addresses[proc.host]
            self._deliver(addr, output.to, output.message)
        elif type(output) is outputs.OpenUpstream:
            self._ran(proc, output.flow, output.payload, output.address)
            proc.open[output.flow] = output.incarnation
            self._answer(proc, output.flow, output.incarnation, output.payload)
        elif type(output) is outputs.ToUpstream:
            self._ran(proc, output.flow, output.payload, "")
            self._answer(proc, output.flow, output.incarnation, output.payload)
        elif type(output) is outputs.StartRelay:
            self._started(proc, output.flow, output.incarnation)
        elif type(output) is outputs.CloseUpstream:
            proc.open.pop(output.flow, None)

    def _deliver(self, sender: Address, to: Address, message: Any) -> None:
        if type(message) is messages.Packet:
            self.hops += message.hops > 0

        def arrive() -> None:
            if to in self.balancers:
                self._at_balancer(self.balancers.index(to), sender, message)
                return
            host = self.by_address.get(to)
            proc = self.procs.get(host or "")
            if proc is not None:
                self.call(
                    proc,
                    lambda: proc.core.on_message(self.drv.now, sender, message),
                )

        self.drv.send(LATENCY_S, arrive, self.loss, self.duplicate)

    # Upstreams.

    def _ran(
        self, proc: Process, flow: bytes, payload: bytes, address: str
    ) -> None:
        caller = self.callers[flow]
        if address and not address.startswith(caller.service + ":"):
            self.wrong_service += 1
        key = (flow, payload)
        self.ran[key] = self.ran.get(key, 0) + 1
        self.where[key] = proc.host
        if caller.work == "booking" and self.ran[key] > 1:
            self.ran_twice += 1
        if key in self.refused:
            self.false_not_run += 1
        if not caller.holder:
            caller.holder = proc.host

    def _answer(
        self, proc: Process, flow: bytes, incarnation: int, payload: bytes
    ) -> None:
        answer = b"re:" + flow + b":" + payload
        delay = self.drv.rng.uniform(0.002, 0.02)

        def give() -> None:
            if proc.alive and proc.open.get(flow) == incarnation:
                self.call(
                    proc,
                    lambda: proc.core.from_upstream(
                        self.drv.now, flow, incarnation, answer
                    ),
                )

        self.drv.after(delay, give)

    def _started(self, proc: Process, flow: bytes, incarnation: int) -> None:
        caller = self.callers[flow]
        proc.open[flow] = incarnation
        caller.state = "open"
        caller.holder = proc.host
        self._ran(proc, flow, b"tcp", "")
        if not caller.long:
            span = self.spans.get(caller.work, 0.05)
            self.drv.after(
                self.drv.rng.uniform(0.2, 1.8) * span,
                lambda: self.close(caller),
            )

    def close(self, caller: Caller, ok: bool = True) -> None:
        """Ends a flow that runs."""
        proc = self.procs.get(caller.holder)
        if proc is None or caller.flow not in proc.open:
            return
        incarnation = proc.open.pop(caller.flow)
        caller.state = "done"
        self.call(
            proc,
            lambda: proc.core.closed(
                self.drv.now, caller.flow, incarnation, ok
            ),
        )

    # Balancers and callers.

    def new_udp(self, service: str, work: str, port: int) -> Caller:
        """Makes a UDP flow; nothing is sent yet."""
        key = slots.address_key(service, work)
        flow = slots.udp_flow(key, (f"192.0.2.{port >> 16}", port & 65535))
        caller = Caller(flow, service, work)
        self.callers[flow] = caller
        return caller

    def new_tcp(self, service: str, work: str, long: bool = False) -> Caller:
        """Opens a TCP flow."""
        key = slots.address_key(service, work)
        random_id = self.drv.rng.getrandbits(128).to_bytes(16, "little")
        caller = Caller(
            slots.random_flow(messages.FLOW_TCP, key, random_id),
            service,
            work,
        )
        caller.long = long
        caller.balancer = self.drv.rng.randrange(len(self.balancers))
        self.callers[caller.flow] = caller
        self._open(caller)
        return caller

    def route(self, index: int, service: str, flow: bytes) -> Any:
        """Returns epoch, rank and address that a balancer sends to."""
        table = self.balancer_tables[index][service]
        slot = slots.slot_of(flow, self.hash_slots)
        for rank in range(max(1, len(table.members))):
            host = table.owner(slot, rank)
            if host is None or host not in self.suspected[index]:
                break
        addr = self.addresses.get(host or "")
        return table.epoch, rank, addr

    def send(self, caller: Caller, payload: bytes) -> None:
        """Sends a datagram of a UDP flow through its balancer."""
        index = caller.balancer
        epoch, rank, addr = self.route(index, caller.service, caller.flow)
        caller.sent += 1
        self.packets += 1
        if addr is not None:
            packet = messages.Packet(
                slots.service_key(caller.service),
                caller.flow,
                epoch,
                rank,
                0,
                "",
                payload,
            )
            self._deliver(self.balancers[index], addr, packet)

    def _open(self, caller: Caller) -> None:
        if caller.state != "opening":
            return
        if caller.tries >= OPEN_TRIES:
            caller.state = "unanswered"
            return
        caller.tries += 1
        index = caller.balancer
        epoch, rank, addr = self.route(index, caller.service, caller.flow)
        if addr is not None:
            message = messages.Open(
                slots.service_key(caller.service),
                caller.flow,
                epoch,
                rank,
                0,
                "",
                caller.work,
                "192.0.2.1",
                0,
            )
            self._deliver(self.balancers[index], addr, message)
        self.drv.after(OPEN_AGAIN_S, lambda: self._open(caller))

    def _at_balancer(self, index: int, sender: Address, msg: Any) -> None:
        caller = self.callers[msg.flow]
        if type(msg) is messages.Reply:
            self._reply(caller, msg)
        elif type(msg) is messages.Placed and caller.state == "opening":
            caller.state = "attaching"
            port = int(msg.relay.rpartition(":")[2]) - 30000
            proc = self.procs[self.by_address["10.0.0.1", port]]
            self.drv.after(
                LATENCY_S, lambda: self._attach(caller, proc, msg.incarnation)
            )
        elif type(msg) is messages.Refused and caller.state == "opening":
            self._refused(caller, b"tcp", msg.outcome)

    def _reply(self, caller: Caller, msg: messages.Reply) -> None:
        if msg.outcome == messages.ANSWERED:
            if not msg.payload.startswith(b"re:" + caller.flow + b":"):
                self.crossed += 1
            if caller.state in ("opening", "unknown"):
                caller.state = "open"
        elif msg.outcome == messages.REFUSED:
            payload = b"%d" % 0
            self._refused(caller, payload, msg.outcome)
        else:
            caller.state = "unknown"

    def _refused(self, caller: Caller, payload: bytes, outcome: str) -> None:
        caller.state = "refused" if outcome == messages.REFUSED else "unknown"
        if outcome == messages.REFUSED:
            key = (caller.flow, payload)
            self.refused.add(key)
            if key in self.ran:
                self.false_not_run += 1

    def _attach(self, caller: Caller, proc: Process, incarnation: int) -> None:
        if not proc.alive or self.drv.now < proc.paused_until:
            caller.state = "unknown"
            return
        self.events += 1
        result, outs = proc.core.attach(
            self.drv.now, caller.flow, incarnation, False
        )
        caller.incarnation = incarnation
        if result.action == outputs.START:
            self._started(proc, caller.flow, incarnation)
        elif result.action == outputs.REFUSE:
            self._refused(caller, b"tcp", result.outcome)
        for output in outs:
            self._act(proc, output)
        self._arm(proc)
