"""Balancers that want load reports of an agent, and how often."""

from crocusmux.core.forward import reports

# With many balancers reports are rarer than they ask for, so that an agent
# sends at most so many a second.
MAX_REPORTS_PER_S = 80

Address = tuple[str, int]


class Subscriber:
    """A balancer that wants reports.

    Attributes:
        address: Address for the reports.
        config_version: Version of the configuration that it has.
        due: Time of the next report, seconds.
        interval_s: Time between two reports that it wants, seconds.
        until: Time until which it wants them, seconds.
    """

    __slots__ = (
        "address",
        "config_version",
        "interval_s",
        "next_report_at",
        "valid_until",
    )

    def __init__(self, address: Address) -> None:
        self.address = address
        self.config_version = 0
        self.next_report_at = 0.0
        self.interval_s = 0.0
        self.valid_until = 0.0


class Subscribers:
    """The balancers that want reports, by address.

    Attributes:
        newest: Newest version of the configuration that any of them has, and
            where it is served.
    """

    __slots__ = ("_by_ip", "newest_config")

    def __init__(self) -> None:
        self.newest_config = (0, "")
        self._by_ip: dict[str, Subscriber] = {}

    def __len__(self) -> int:
        return len(self._by_ip)

    def all(self) -> list[Subscriber]:
        """Returns all subscribers."""
        return list(self._by_ip.values())

    def subscribe(
        self, now: float, message: reports.Subscribe
    ) -> Subscriber | None:
        """Starts or renews a subscription; returns it if it is new."""
        if message.config_version > self.newest_config[0]:
            self.newest_config = (message.config_version, message.config_source)
        ip = message.address[0]
        known = self._by_ip.get(ip)
        subscriber = known or Subscriber(message.address)
        subscriber.valid_until = now + message.valid_s
        subscriber.interval_s = message.interval_s
        subscriber.config_version = message.config_version
        self._by_ip[ip] = subscriber
        return subscriber if known is None else None

    def due_subscribers(self, now: float) -> list[Subscriber]:
        """Returns those whose next report is due."""
        return [
            one for one in self._by_ip.values() if one.next_report_at <= now
        ]

    def schedule_report(self, now: float, subscriber: Subscriber) -> float:
        """Plans the report after this one; returns the interval, seconds."""
        own = len(self._by_ip) / MAX_REPORTS_PER_S
        interval = max(subscriber.interval_s, own)
        subscriber.next_report_at = now + interval
        return interval

    def newest_config_for(self, subscriber: Subscriber) -> tuple[int, str]:
        """Returns the newest version, with its source if it lacks it."""
        version, source = self.newest_config
        if version <= subscriber.config_version:
            return version, ""
        return version, source

    def expire(self, now: float) -> None:
        """Forgets those that no longer renew."""
        for ip, subscriber in list(self._by_ip.items()):
            if subscriber.valid_until < now:
                del self._by_ip[ip]
