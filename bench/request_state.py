"""State of an open request at an agent of the product's own interface.

    python -m bench.request_state [--json]

Memory is counted by tracemalloc, so other processes on the machine add nothing.
Bound: 500 bytes for an open request and process.
"""

import argparse
import gc
import json
import random
import statistics
import sys
import tracemalloc

from bench import relay
from crocusmux import messages
from crocusmux import objects
from crocusmux.core.control import config_store
from crocusmux.core.flows import agent
from crocusmux.core.flows import flow_directory
from crocusmux.core.flows import slots

SEED = 1
MAX_BYTES = 500.0
# Few, as placement checks each request in progress; three points or more show
# whether the state is linear.
REQUEST_COUNTS = (250, 500, 1_000)
SERVICE = "orders"
HOST = "upstream-0"
INCARNATION = 1
# More than all requests, so that none waits.
CAPACITY = 10_000_000
# Later than the period for which a new member's reports do not count.
STARTED_AT_S = 60


def make_store() -> config_store.ConfigStore:
    """Returns the configuration of a service with one member."""
    address = objects.ServiceAddress(
        name="main",
        protocol="udp",
        ip="10.9.0.0",
        port=7000,
        work_class=SERVICE,
    )
    upstream = objects.Upstream(
        name=f"{SERVICE}-0",
        address="10.0.0.7:9000",
        slots=CAPACITY,
        connections=CAPACITY,
    )
    member = objects.Member(
        host=HOST,
        failure_domain="domain-0",
        agent="10.0.0.7:7001",
        relay="10.0.0.7:7002",
        control="tcp://10.0.0.7:7000",
        incarnation=INCARNATION,
        upstreams=(upstream,),
    )
    work_class = objects.WorkClass(name=SERVICE, kind="request", urgency=0)
    preset = objects.Preset(name="ordinary", classes=(work_class,))
    service = objects.Service(name=SERVICE, addresses=(address,))
    membership = objects.Membership(service=SERVICE, members=(member,))
    in_force = objects.PresetInForce(preset=preset)
    bodies = {
        f"{objects.SERVICE_PREFIX}{SERVICE}": objects.encode(service),
        f"{objects.MEMBERSHIP_PREFIX}{SERVICE}": objects.encode(membership),
        objects.IN_FORCE_KEY: objects.encode(in_force),
    }
    store = config_store.ConfigStore()
    for version, (key, body) in enumerate(bodies.items(), 1):
        store.apply_if_newer(objects.VersionedObject(key, version, body))
    return store


def make_agent() -> agent.TerminatingAgent:
    """Returns the agent of the sole member, ready for flows."""
    store = make_store()
    core = agent.TerminatingAgent(HOST, INCARNATION, random.Random(SEED))
    core.apply(0.0, store, store.services_of(HOST))
    while core.next_timer() == 0.0:
        core.on_timer(0.0)
    # A jump of the clock counts as a pause, after which the agent drops work
    # that could run too late, so the clock advances in steps.
    for second in range(STARTED_AT_S + 1):
        core.on_timer(float(second))
    return core


def open_requests(count: int) -> agent.TerminatingAgent:
    """Returns an agent with a number of running requests.

    Raises:
        RuntimeError: A request is in another state.
    """
    core = make_agent()
    address = slots.address_key(SERVICE, "main")
    key = slots.service_key(SERVICE)
    for number in range(count):
        caller = (f"10.0.{number >> 8}.{number & 255}", 5000)
        flow = slots.udp_flow_id(address, caller)
        opening = messages.Packet(key, flow, 2, 0, 0, "", relay.PAYLOAD)
        core.on_message(float(STARTED_AT_S), ("10.8.0.1", 4000), opening)
    states = [flow.state for flow in core._flows.values()]
    if len(states) != count or set(states) != {flow_directory.RUNNING}:
        raise RuntimeError("some requests are in another state")
    return core


def allocated_bytes(count: int) -> int:
    """Returns the bytes of an agent with a number of running requests."""
    gc.collect()
    tracemalloc.start()
    core = open_requests(count)
    gc.collect()
    used = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del core
    return used


def main() -> int:
    """Prints the bytes of a request; returns 1 if the bound is exceeded."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--json", action="store_true")
    args = parser.parse_args()
    sizes = [allocated_bytes(count) for count in REQUEST_COUNTS]
    slope, _ = statistics.linear_regression(REQUEST_COUNTS, sizes)
    if args.json:
        print(json.dumps({"request_bytes": slope, "bound": MAX_BYTES}))
    else:
        print(f"open request: {slope:.0f} bytes, bound {MAX_BYTES:.0f}")
    return 1 if slope > MAX_BYTES else 0


if __name__ == "__main__":
    sys.exit(main())
