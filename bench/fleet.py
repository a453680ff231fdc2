"""Simulated fleet around the real agent core, in virtual time.

The fleet records what each upstream received and what each caller was told,
and counts violations of the protocol's invariants.  Its balancers are a model:
they route by the slot table of their membership, retry ``Open``, and attach
once.
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
OPEN_RETRY_INTERVAL_S = 0.2
MAX_OPEN_ATTEMPTS = 6


class Caller:
    """State of one flow at its caller and its balancer.

    Attributes:
        flow: Flow id.
        service: Name of the service.
        work_class: Name of the work class.
        balancer: Index of the balancer that the next packet goes through.
        holder: Host that the flow was attached to or first ran on.
        incarnation: Placement incarnation that a TCP flow attached to.
        state: ``"opening"``, ``"open"``, ``"refused"``, ``"unknown"``,
            ``"done"`` or ``"broken"``.
        open_attempts: Transmissions of ``Open``.
        sent_datagrams: Datagrams sent.
        is_long: True for a flow that has to survive all planned changes.
    """

    __slots__ = (
        "balancer",
        "flow",
        "holder",
        "incarnation",
        "is_long",
        "open_attempts",
        "sent_datagrams",
        "service",
        "state",
        "work_class",
    )

    def __init__(self, flow: bytes, service: str, work: str) -> None:
        self.flow = flow
        self.service = service
        self.work_class = work
        self.balancer = 0
        self.holder = ""
        self.incarnation = 0
        self.state = "opening"
        self.open_attempts = 0
        self.sent_datagrams = 0
        self.is_long = False


class Process:
    """One agent process.

    Attributes:
        host: Name of the host.
        core: The decision core.
        store: Configuration in force at this process.
        is_alive: False after a crash.
        paused_until: Virtual time until which inputs are queued.
        open_flows: Placement incarnation of each flow open at its upstreams.
    """

    __slots__ = (
        "core",
        "host",
        "incarnation",
        "is_alive",
        "open_flows",
        "paused_until",
        "queued_inputs",
        "store",
        "wake_at",
    )

    def __init__(
        self, host: str, incarnation: int, core: agent.TerminatingAgent
    ) -> None:
        self.host = host
        self.incarnation = incarnation
        self.core = core
        self.store = config_store.ConfigStore()
        self.is_alive = True
        self.paused_until = 0.0
        self.queued_inputs: list[Callable[[], None]] = []
        self.open_flows: dict[bytes, int] = {}
        self.wake_at: float | None = None


class Fleet:
    """Agents, balancers and callers, with counts of invariant violations.

    Attributes:
        drv: Driver of virtual time.
        procs: Latest process of each host.
        callers: Flows by id.
        host_by_work: Host that last ran each payload, by flow and payload.
        run_counts: Runs at upstreams, by flow and payload.
        input_count: Inputs given to cores.
        ran_twice: Non-idempotent work that upstreams got more than once.
        false_not_run: Work refused as not run that did run.
        misdelivered_replies: Replies to another flow that reached a caller.
        wrong_service: Work given to an upstream of another service.
        epoch_reversions: Membership updates that lowered a process's epoch.
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
        self.window_s = window
        self.spread_s = spread_s
        self.hash_slots = hash_slots
        self.balancers = [(f"10.9.0.{i}", 7000) for i in range(balancers)]
        self.procs: dict[str, Process] = {}
        self.by_address: dict[Address, str] = {}
        self.addresses: dict[str, Address] = {}
        self.callers: dict[bytes, Caller] = {}
        self.host_by_work: dict[tuple[bytes, bytes], str] = {}
        self.run_counts: dict[tuple[bytes, bytes], int] = {}
        self.input_count = 0
        self.forwarded_packets = 0
        self.sent_packets = 0
        self.ran_twice = 0
        self.false_not_run = 0
        self.misdelivered_replies = 0
        self.wrong_service = 0
        self.epoch_reversions = 0
        self.epochs: dict[str, int] = {}
        self.members: dict[str, dict[str, objects.Member]] = {
            name: {} for name in SERVICES
        }
        self.balancer_tables = [
            {name: slots.SlotTable(0, hash_slots) for name in SERVICES}
            for _ in self.balancers
        ]
        self.suspected: list[set[str]] = [set() for _ in self.balancers]
        self.trace: Callable[[str, Any], None] | None = None
        self.refused_work: set[tuple[bytes, bytes]] = set()
        self.mean_duration_s: dict[str, float] = {}
        for host, served in hosts.items():
            self.start(host, served)
        for name in SERVICES:
            self.publish(name, at_once=True)

    # Membership.

    def start(self, host: str, served: tuple[str, ...]) -> Process:
        """Starts a process on a host and adds it to its services."""
        incarnation = self.drv.rng.getrandbits(32) | 1
        core = agent.TerminatingAgent(
            host,
            incarnation,
            random.Random(self.drv.rng.getrandbits(64)),
            self.window_s,
        )
        proc = Process(host, incarnation, core)
        number = len(self.addresses)
        addr = self.addresses.setdefault(host, ("10.0.0.1", 1000 + number))
        self.by_address[addr] = host
        self.procs[host] = proc
        if any(self.epochs.values()):
            # A restarted agent loads the configuration before it joins.
            for name in SERVICES:
                self._load_config(proc, name)
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

    def set_state(self, host: str, state: objects.UpstreamState) -> None:
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
        """Removes a host, whose upstreams are gone, from the memberships."""
        for name in SERVICES:
            self.members[name].pop(host, None)

    def publish(self, name: str, at_once: bool = False) -> None:
        """Publishes a membership to all processes under a new epoch."""
        self.epochs[name] = self.epochs.get(name, 0) + 1
        for proc in self.procs.values():
            delay = 0.0 if at_once else self.drv.rng.uniform(0, self.spread_s)
            self._update_agent(proc, name, delay)
        for i in range(len(self.balancers)):
            delay = 0.0 if at_once else self.drv.rng.uniform(0, self.spread_s)
            self._update_balancer(i, name, delay)

    def _objects(self, name: str) -> list[objects.VersionedObject]:
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
        preset = objects.PresetInForce(
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
                self.epochs.get(name, 0),
                membership,
            ),
        )
        return [
            objects.VersionedObject(key, version, objects.encode(obj))
            for key, version, obj in bodies
            if version
        ]

    def _load_config(self, proc: Process, name: str) -> None:
        for versioned in self._objects(name):
            proc.store.apply_if_newer(versioned)

    def _update_agent(self, proc: Process, name: str, delay: float) -> None:
        changed_objects = self._objects(name)

        def apply_objects() -> None:
            before = proc.store.epoch(name)
            for versioned in changed_objects:
                proc.store.apply_if_newer(versioned)
            self.epoch_reversions += proc.store.epoch(name) < before
            self.call(proc, lambda: proc.core.apply(self.drv.now, proc.store))

        if delay:
            self.drv.after(delay, apply_objects)
        else:
            apply_objects()

    def _update_balancer(self, index: int, name: str, delay: float) -> None:
        epoch = self.epochs[name]
        owners = [
            m.host
            for m in self.members[name].values()
            if any(u.state in ("ready", "warming") for u in m.upstreams)
        ]

        def update_table() -> None:
            current_table = self.balancer_tables[index][name]
            if current_table.epoch < epoch:
                steps = slots.build_table_steps(
                    current_table if current_table.epoch else None,
                    epoch,
                    self.hash_slots,
                    owners,
                )
                self.balancer_tables[index][name] = slots.last_table(steps)

        if delay:
            self.drv.after(delay, update_table)
        else:
            update_table()

    # Processes.

    def crash(self, host: str) -> list[Caller]:
        """Kills a process; returns the flows that were open on it."""
        proc = self.procs[host]
        proc.is_alive = False
        return [self.callers[f] for f in proc.open_flows if f in self.callers]

    def pause(self, host: str, seconds: float) -> None:
        """Pauses a process for some seconds; its inputs are queued."""
        proc = self.procs[host]
        proc.paused_until = self.drv.now + seconds
        self.drv.after(seconds, lambda: self._resume(proc))

    def _resume(self, proc: Process) -> None:
        queued, proc.queued_inputs = proc.queued_inputs, []
        for action in queued:
            action()
        self._run_timer(proc)

    def suspect(self, host: str, suspected: bool = True) -> None:
        """Makes all balancers and other processes suspect or clear a host."""
        for suspects in self.suspected:
            suspects.add(host) if suspected else suspects.discard(host)
        for proc in self.procs.values():
            if proc.host != host and proc.is_alive:
                hosts = frozenset(self.suspected[0] - {proc.host})
                self._suspect(proc, hosts)

    def _suspect(self, proc: Process, hosts: frozenset[str]) -> None:
        self.call(
            proc, lambda: proc.core.set_suspected_hosts(self.drv.now, hosts)
        )

    def call(self, proc: Process, action: Callable[[], list[Any]]) -> None:
        """Runs an input of a core and executes its outputs."""
        if not proc.is_alive:
            return
        if self.drv.now < proc.paused_until:
            proc.queued_inputs.append(lambda: self.call(proc, action))
            return
        self.input_count += 1
        for output in action():
            self._execute(proc, output)
        self._schedule_wake(proc)

    def _schedule_wake(self, proc: Process) -> None:
        wake_at = proc.core.next_timer()
        if wake_at is None or (
            proc.wake_at is not None and proc.wake_at <= wake_at
        ):
            return
        proc.wake_at = wake_at
        self.drv.after(
            wake_at - self.drv.now, lambda: self._run_timer(proc, wake_at)
        )

    def _run_timer(
        self, proc: Process, scheduled_at: float | None = None
    ) -> None:
        if scheduled_at is not None and proc.wake_at != scheduled_at:
            return
        proc.wake_at = None
        self.call(proc, lambda: proc.core.on_timer(self.drv.now))

    def _execute(self, proc: Process, output: Any) -> None:
        if self.trace is not None:
            self.trace(proc.host, output)
        if type(output) is messages.Send:
            addr = self.addresses[proc.host]
            self._deliver(addr, output.to, output.message)
        elif type(output) is outputs.OpenUpstream:
            self._record_run(proc, output.flow, output.payload, output.address)
            proc.open_flows[output.flow] = output.incarnation
            self._schedule_reply(
                proc, output.flow, output.incarnation, output.payload
            )
        elif type(output) is outputs.ToUpstream:
            self._record_run(proc, output.flow, output.payload, "")
            self._schedule_reply(
                proc, output.flow, output.incarnation, output.payload
            )
        elif type(output) is outputs.StartRelay:
            self._start_tcp_flow(proc, output.flow, output.incarnation)
        elif type(output) is outputs.CloseUpstream:
            proc.open_flows.pop(output.flow, None)

    def _deliver(self, sender: Address, to: Address, message: Any) -> None:
        if type(message) is messages.Packet:
            self.forwarded_packets += message.hops > 0

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

    def _record_run(
        self, proc: Process, flow: bytes, payload: bytes, address: str
    ) -> None:
        caller = self.callers[flow]
        if address and not address.startswith(caller.service + ":"):
            self.wrong_service += 1
        key = (flow, payload)
        self.run_counts[key] = self.run_counts.get(key, 0) + 1
        self.host_by_work[key] = proc.host
        if caller.work_class == "booking" and self.run_counts[key] > 1:
            self.ran_twice += 1
        if key in self.refused_work:
            self.false_not_run += 1
        if not caller.holder:
            caller.holder = proc.host

    def _schedule_reply(
        self, proc: Process, flow: bytes, incarnation: int, payload: bytes
    ) -> None:
        reply = b"re:" + flow + b":" + payload
        delay = self.drv.rng.uniform(0.002, 0.02)

        def deliver_reply() -> None:
            if proc.is_alive and proc.open_flows.get(flow) == incarnation:
                self.call(
                    proc,
                    lambda: proc.core.on_upstream_datagram(
                        self.drv.now, flow, incarnation, reply
                    ),
                )

        self.drv.after(delay, deliver_reply)

    def _start_tcp_flow(
        self, proc: Process, flow: bytes, incarnation: int
    ) -> None:
        caller = self.callers[flow]
        proc.open_flows[flow] = incarnation
        caller.state = "open"
        caller.holder = proc.host
        self._record_run(proc, flow, b"tcp", "")
        if not caller.is_long:
            duration_s = self.mean_duration_s.get(caller.work_class, 0.05)
            self.drv.after(
                self.drv.rng.uniform(0.2, 1.8) * duration_s,
                lambda: self.close(caller),
            )

    def close(self, caller: Caller, ok: bool = True) -> None:
        """Ends an open flow."""
        proc = self.procs.get(caller.holder)
        if proc is None or caller.flow not in proc.open_flows:
            return
        incarnation = proc.open_flows.pop(caller.flow)
        caller.state = "done"
        self.call(
            proc,
            lambda: proc.core.on_ended(
                self.drv.now, caller.flow, incarnation, ok
            ),
        )

    # Balancers and callers.

    def new_udp(self, service: str, work: str, port: int) -> Caller:
        """Creates a UDP flow without sending a datagram."""
        key = slots.address_key(service, work)
        flow = slots.udp_flow_id(key, (f"192.0.2.{port >> 16}", port & 65535))
        caller = Caller(flow, service, work)
        self.callers[flow] = caller
        return caller

    def new_tcp(self, service: str, work: str, long: bool = False) -> Caller:
        """Opens a TCP flow."""
        key = slots.address_key(service, work)
        random_id = self.drv.rng.getrandbits(128).to_bytes(16, "little")
        caller = Caller(
            slots.make_flow_id(messages.FLOW_TCP, key, random_id),
            service,
            work,
        )
        caller.is_long = long
        caller.balancer = self.drv.rng.randrange(len(self.balancers))
        self.callers[caller.flow] = caller
        self._send_open(caller)
        return caller

    def route(self, index: int, service: str, flow: bytes) -> Any:
        """Returns the epoch, rank and address that a balancer routes to."""
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
        caller.sent_datagrams += 1
        self.sent_packets += 1
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

    def _send_open(self, caller: Caller) -> None:
        if caller.state != "opening":
            return
        if caller.open_attempts >= MAX_OPEN_ATTEMPTS:
            caller.state = "unanswered"
            return
        caller.open_attempts += 1
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
                caller.work_class,
                "192.0.2.1",
                0,
            )
            self._deliver(self.balancers[index], addr, message)
        self.drv.after(OPEN_RETRY_INTERVAL_S, lambda: self._send_open(caller))

    def _at_balancer(self, index: int, sender: Address, msg: Any) -> None:
        caller = self.callers[msg.flow]
        if type(msg) is messages.Reply:
            self._handle_reply(caller, msg)
        elif type(msg) is messages.Placed and caller.state == "opening":
            caller.state = "attaching"
            port = int(msg.relay.rpartition(":")[2]) - 30000
            proc = self.procs[self.by_address["10.0.0.1", port]]
            self.drv.after(
                LATENCY_S, lambda: self._attach(caller, proc, msg.incarnation)
            )
        elif type(msg) is messages.Refused and caller.state == "opening":
            self._record_refusal(caller, b"tcp", msg.outcome)

    def _handle_reply(self, caller: Caller, msg: messages.Reply) -> None:
        if msg.outcome == messages.ANSWERED:
            if not msg.payload.startswith(b"re:" + caller.flow + b":"):
                self.misdelivered_replies += 1
            if caller.state in ("opening", "unknown"):
                caller.state = "open"
        elif msg.outcome == messages.REFUSED:
            payload = b"%d" % 0
            self._record_refusal(caller, payload, msg.outcome)
        else:
            caller.state = "unknown"

    def _record_refusal(
        self, caller: Caller, payload: bytes, outcome: str
    ) -> None:
        caller.state = "refused" if outcome == messages.REFUSED else "unknown"
        if outcome == messages.REFUSED:
            key = (caller.flow, payload)
            self.refused_work.add(key)
            if key in self.run_counts:
                self.false_not_run += 1

    def _attach(self, caller: Caller, proc: Process, incarnation: int) -> None:
        if not proc.is_alive or self.drv.now < proc.paused_until:
            caller.state = "unknown"
            return
        self.input_count += 1
        result, outs = proc.core.on_attach(
            self.drv.now, caller.flow, incarnation, False
        )
        caller.incarnation = incarnation
        if result.action == outputs.START:
            self._start_tcp_flow(proc, caller.flow, incarnation)
        elif result.action == outputs.REFUSE:
            self._record_refusal(caller, b"tcp", result.outcome)
        for output in outs:
            self._execute(proc, output)
        self._schedule_wake(proc)
