"""Sample configuration that several features share."""

from crocusmux import objects
from crocusmux.core.control import config_store

KEY = "00112233445566778899aabbccddeeff"


def member(
    host: str,
    port: int,
    upstream: str = "",
    domain: str = "abay",
    state: objects.State = "ready",
    address: str = "127.0.0.1:9",
    relay: str = "",
    incarnation: int = 1,
) -> objects.Member:
    """Returns a member with one upstream."""
    return objects.Member(
        host=host,
        failure_domain=domain,
        agent=f"127.0.0.1:{port}",
        relay=relay or f"127.0.0.1:{port}",
        incarnation=incarnation,
        upstreams=(
            objects.Upstream(
                name=upstream or f"up-{host}", address=address, state=state
            ),
        ),
    )


def rounds(**changes) -> objects.Service:
    """Returns the service ``rounds`` with a feed, bookings and UDP feeds."""
    values = {
        "name": "rounds",
        "hash_slots": 64,
        "addresses": (
            objects.ServiceAddress(
                name="feed", protocol="tcp", port=7001, work_class="feed"
            ),
            objects.ServiceAddress(
                name="booking",
                protocol="tcp",
                port=7002,
                work_class="booking",
                refusal="NOT RUN\n",
            ),
            objects.ServiceAddress(
                name="position",
                protocol="udp",
                port=7003,
                work_class="feed",
                refusal="NOT RUN\n",
            ),
        ),
        **changes,
    }
    return objects.Service(**values)


def preset(name: str = "ordinary", revision: int = 1) -> objects.Preset:
    """Returns a preset with one class of each kind."""
    return objects.Preset(
        name=name,
        revision=revision,
        classes=(
            objects.WorkClass(name="feed", kind="long", idempotent=True),
            objects.WorkClass(
                name="booking",
                kind="request",
                urgency=0,
                deadline_ms=2000,
                reserve_share=0.25,
            ),
            objects.WorkClass(
                name="log", kind="bulk", urgency=2, min_share=0.1
            ),
        ),
    )


def offer(
    store: config_store.ConfigStore,
    key: str,
    version: int,
    obj: objects.ConfigObject,
) -> bool:
    """Offers an object to a store."""
    body = objects.encode(obj)
    return store.apply_if_newer(objects.Versioned(key, version, body))


def store_of(
    members: tuple[objects.Member, ...],
    service: objects.Service | None = None,
    epoch: int = 7,
) -> config_store.ConfigStore:
    """Returns a store with a service, its members and a preset in force."""
    store = config_store.ConfigStore()
    service = service or rounds()
    offer(store, f"services/{service.name}", 5, service)
    membership = objects.Membership(service=service.name, members=members)
    offer(store, f"memberships/{service.name}", epoch, membership)
    offer(store, "in-force", 3, objects.InForce(preset=preset()))
    return store
