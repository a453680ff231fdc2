"""Balancers subscribed to an agent's load reports, and their schedule."""

from crocusmux.core.forward import reports

# With many balancers an agent reports less often, to keep to this limit.
MAX_REPORTS_PER_S = 80
# Shorter requested intervals are not served.
MIN_INTERVAL_S = 0.05
# Nor are longer ones: a report states its interval in milliseconds, and cannot
# carry more than 1e9 of them.
MAX_INTERVAL_S = 3_600.0

Address = tuple[str, int]


class Subscriber:
    """A subscribed balancer.

    Attributes:
        address: Address for the reports.
        compact: True if the balancer can decode compact reports.
        config_version: Version of the configuration in force at the balancer.
        config_source: Address that serves it.
        told: Number of reports that named a newer version to the balancer.
        next_report_at: Time of the next report, seconds.
        interval_s: Requested interval between reports, seconds.
        valid_until: Time at which the subscription expires, seconds.
    """

    __slots__ = (
        "address",
        "compact",
        "config_source",
        "config_version",
        "interval_s",
        "next_report_at",
        "told",
        "valid_until",
    )

    def __init__(self, address: Address) -> None:
        self.address = address
        self.compact = False
        self.config_version = 0
        self.config_source = ""
        self.told = 0
        self.next_report_at = 0.0
        self.interval_s = 0.0
        self.valid_until = 0.0


class Subscribers:
    """The subscribed balancers, by IP address.

    Attributes:
        newest_config: Newest configuration version of any subscriber, and the
            address that serves it.
        warmup_per_s: Openings a second for a warming upstream, under that
            version; 0 if unlimited.
        idle_s: Idle timeout of flows under that version, seconds; 0 if it is
            unknown.
    """

    __slots__ = ("_by_ip", "idle_s", "newest_config", "warmup_per_s")

    def __init__(self) -> None:
        self.newest_config = (0, "")
        self.warmup_per_s = 0.0
        self.idle_s = 0.0
        self._by_ip: dict[str, Subscriber] = {}

    def __len__(self) -> int:
        return len(self._by_ip)

    def all(self) -> list[Subscriber]:
        """Returns all subscribers."""
        return list(self._by_ip.values())

    def subscribe(
        self, now: float, message: reports.Subscribe
    ) -> tuple[Subscriber, bool]:
        """Starts or renews a subscription; returns it, and True if it is new."""
        if message.config_version > self.newest_config[0]:
            self.newest_config = (message.config_version, message.config_source)
            self.warmup_per_s = message.warmup_per_s
            self.idle_s = message.idle_s
        elif message.config_version == self.newest_config[0]:
            # A balancer of an older release sends the same version without
            # its rate and idle timeout.
            self.warmup_per_s = max(self.warmup_per_s, message.warmup_per_s)
            self.idle_s = max(self.idle_s, message.idle_s)
        ip = message.address[0]
        known = self._by_ip.get(ip)
        subscriber = known or Subscriber(message.address)
        subscriber.valid_until = now + message.valid_s
        subscriber.interval_s = message.interval_s
        if subscriber.config_version != message.config_version:
            subscriber.told = 0
        subscriber.config_version = message.config_version
        subscriber.config_source = message.config_source
        subscriber.compact = message.compact
        self._by_ip[ip] = subscriber
        return subscriber, known is None

    def due_subscribers(self, now: float) -> list[Subscriber]:
        """Returns the subscribers whose next report is due."""
        return [x for x in self._by_ip.values() if x.next_report_at <= now]

    def schedule_report(self, now: float, subscriber: Subscriber) -> float:
        """Schedules the next report; returns the time until then, seconds."""
        rate = sum(1 / max(x.interval_s, MIN_INTERVAL_S) for x in self.all())
        slowdown = max(1.0, rate / MAX_REPORTS_PER_S)
        interval_s = max(subscriber.interval_s, MIN_INTERVAL_S) * slowdown
        interval_s = min(interval_s, MAX_INTERVAL_S)
        subscriber.next_report_at = now + interval_s
        return interval_s

    def newest_config_for(self, subscriber: Subscriber) -> tuple[int, str]:
        """Returns a configuration version, and the address that serves it.

        If the subscriber has the newest version, that one and an empty address.
        Otherwise successive calls return all versions that are newer than the
        subscriber's in turn, the newest first, as a source may have ended.
        """
        newest = self.newest_config
        if newest[0] <= subscriber.config_version:
            return newest[0], ""
        others = {
            (x.config_version, x.config_source)
            for x in self.all()
            if x.config_version > subscriber.config_version and x.config_source
        }
        newer = [newest, *sorted(others - {newest}, reverse=True)]
        subscriber.told += 1
        return newer[(subscriber.told - 1) % len(newer)]

    def expire(self, now: float) -> None:
        """Removes subscribers that no longer renew."""
        for ip, subscriber in list(self._by_ip.items()):
            if subscriber.valid_until < now:
                del self._by_ip[ip]
