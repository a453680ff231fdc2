"""Chaos test of the agent core: random traffic and faults, invariant checks.

An action is a name and two numbers below 1000, which property-based tests can
generate and a bench can draw from its seed.
"""

from collections.abc import Callable, Sequence

from bench import driver
from bench import fleet

Action = tuple[str, int, int]

HOSTS = 5
SUSPICION_DELAY_S = 0.8  # from a crash until others suspect the host
REMOVAL_DELAY_S = 3.0  # from a crash until the host is removed


class Chaos:
    """Applies traffic and fault actions to a simulated fleet.

    Attributes:
        fleet: Simulated fleet.
        drv: Driver of the fleet's virtual time.
    """

    def __init__(
        self,
        seed: int,
        hosts: int = HOSTS,
        loss: float = 0.02,
        duplicate: float = 0.05,
    ) -> None:
        self.drv = driver.Driver(seed)
        served = {f"h{i}": fleet.SERVICES for i in range(hosts)}
        self.fleet = fleet.Fleet(
            self.drv,
            served,
            loss=loss,
            duplicate=duplicate,
            hash_slots=16,
            spread_s=2.0,
        )
        self._last_port = 1000
        self._host_count = hosts
        self._crashed_hosts: set[str] = set()
        self._actions: dict[str, Callable[[int, int], None]] = {
            "tcp": self._open_tcp,
            "udp": self._open_udp,
            "late": self._repeat_datagram,
            "crash": self._crash,
            "restart": self._restart,
            "pause": self._pause,
            "suspect": self._suspect_live,
            "drain": self._drain,
            "join": self._join,
            "wait": self._wait,
        }

    def apply(self, action: Action) -> None:
        """Applies an action, then advances virtual time by up to 50 ms."""
        name, a, b = action
        self._actions[name](a, b)
        self.drv.run(self.drv.now + b / 20_000)

    def settle(self) -> None:
        """Advances virtual time until no action has effects any more."""
        self.drv.run(self.drv.now + 45.0)

    def violations(self) -> dict[str, int]:
        """Returns the number of violations of each invariant."""
        simulated = self.fleet
        return {
            "ran_twice": simulated.ran_twice,
            "false_not_run": simulated.false_not_run,
            "crossed_answers": simulated.misdelivered_replies,
            "wrong_service": simulated.wrong_service,
            "reverted": simulated.epoch_reversions,
        }

    def _pick_host(self, number: int) -> str:
        names = sorted(self.fleet.procs)
        return names[number % len(names)]

    def _pick_work(self, number: int) -> tuple[str, str]:
        work = ("booking", "booking", "feed", "lookup")[number % 4]
        return fleet.SERVICES[number % 2], work

    def _open_tcp(self, a: int, b: int) -> None:
        caller = self.fleet.new_tcp(*self._pick_work(a))
        caller.balancer = b % len(self.fleet.balancers)

    def _open_udp(self, a: int, b: int) -> None:
        self._last_port += 1
        caller = self.fleet.new_udp(*self._pick_work(a), self._last_port)
        for i in range(1 + a % 3):
            delay = (0.0, 0.3, b / 50.0)[i]
            self.drv.after(delay, lambda: self._send(caller))
        self.drv.after(0.5 + b / 100, lambda: self.fleet.close(caller, ok=True))

    def _repeat_datagram(self, a: int, b: int) -> None:
        """Repeats a recent datagram up to 5 s later, within the window."""
        recent = [
            c
            for c in list(self.fleet.callers.values())[-20:]
            if c.sent_datagrams
        ]
        if recent:
            caller = recent[a % len(recent)]
            self.drv.after(b / 200, lambda: self._send(caller))

    def _send(self, caller: fleet.Caller) -> None:
        caller.balancer = self.drv.rng.randrange(len(self.fleet.balancers))
        self.fleet.send(caller, b"0")

    def _crash(self, a: int, b: int) -> None:
        host = self._pick_host(a)
        if (
            host in self._crashed_hosts
            or len(self._crashed_hosts) >= self._host_count - 2
        ):
            return
        self._crashed_hosts.add(host)
        self.fleet.crash(host)
        if b % 2:
            self.drv.after(b / 400, lambda: self._restart_now(host))
            return
        self.drv.after(SUSPICION_DELAY_S, lambda: self._suspect_dead(host))
        self.drv.after(REMOVAL_DELAY_S, lambda: self._remove(host))

    def _suspect_dead(self, host: str) -> None:
        if host in self._crashed_hosts:
            self.fleet.suspect(host)

    def _remove(self, host: str) -> None:
        if host in self._crashed_hosts:
            self.fleet.set_state(host, "gone")
            self._publish()
            self.drv.after(self.fleet.window_s + 1, lambda: self._forget(host))

    def _forget(self, host: str) -> None:
        if host in self._crashed_hosts:
            self.fleet.forget(host)
            self._publish()

    def _restart(self, a: int, b: int) -> None:
        down = sorted(self._crashed_hosts)
        if down:
            self._restart_now(down[a % len(down)])

    def _restart_now(self, host: str) -> None:
        if host in self._crashed_hosts:
            self._crashed_hosts.discard(host)
            self.fleet.suspect(host, False)
            self.fleet.start(host, fleet.SERVICES)
            self._publish()

    def _pause(self, a: int, b: int) -> None:
        host = self._pick_host(a)
        if host not in self._crashed_hosts:
            self.fleet.pause(host, b / 25)
            if b > 20:
                self.drv.after(
                    SUSPICION_DELAY_S, lambda: self.fleet.suspect(host)
                )
                self.drv.after(
                    b / 25 + 0.5, lambda: self.fleet.suspect(host, False)
                )

    def _suspect_live(self, a: int, b: int) -> None:
        """Suspects a live host for up to 3.3 s."""
        host = self._pick_host(a)
        self.fleet.suspect(host)
        self.drv.after(b / 300, lambda: self._clear_suspicion(host))

    def _clear_suspicion(self, host: str) -> None:
        if host not in self._crashed_hosts:
            self.fleet.suspect(host, False)

    def _drain(self, a: int, b: int) -> None:
        host = self._pick_host(a)
        if host not in self._crashed_hosts:
            self.fleet.set_state(host, "draining")
            self._publish()
            self.drv.after(1 + b / 200, lambda: self._undrain(host))

    def _undrain(self, host: str) -> None:
        if host not in self._crashed_hosts:
            self.fleet.set_state(host, "ready")
            self._publish()

    def _join(self, a: int, b: int) -> None:
        host = f"n{a % 4}"
        if host not in self.fleet.procs:
            self.fleet.start(host, fleet.SERVICES)
            self._publish()

    def _wait(self, a: int, b: int) -> None:
        self.drv.run(self.drv.now + a / 100)

    def _publish(self) -> None:
        for name in fleet.SERVICES:
            self.fleet.publish(name)


TRAFFIC_ACTIONS = ("tcp", "udp", "udp", "late", "late")
FAULT_ACTIONS = (
    "crash",
    "restart",
    "pause",
    "suspect",
    "drain",
    "join",
    "wait",
)


def random_actions(rng: driver.random.Random, count: int) -> list[Action]:
    """Returns random actions; one in fifteen on average is a fault."""
    actions = []
    for _ in range(count):
        kind = FAULT_ACTIONS if rng.random() < 1 / 15 else TRAFFIC_ACTIONS
        actions.append(
            (rng.choice(kind), rng.randrange(1000), rng.randrange(1000))
        )
    return actions


def run(seed: int, actions: Sequence[Action] | int) -> Chaos:
    """Runs the given actions, or a number of random actions."""
    chaos = Chaos(seed)
    if isinstance(actions, int):
        actions = random_actions(chaos.drv.rng, actions)
    # Until members are older than the window, slots wait for all of them.
    chaos.drv.run(chaos.drv.now + chaos.fleet.window_s + 5.0)
    for action in actions:
        chaos.apply(action)
    chaos.settle()
    return chaos
