import random

from behave import given
from behave import then
from behave import when

from bench import control_fleet as fleet
from bench import driver
from crocusmux import objects
from crocusmux.core.control import config_store
from crocusmux.core.control import gossip
from crocusmux.core.control import gossip_messages

SEED = 11


def in_force(name, version):
    body = objects.encode(objects.InForce(preset=objects.Preset(name=name)))
    return objects.Versioned(objects.IN_FORCE_KEY, version, body)


def make_core(name):
    row = gossip_messages.DaemonRow(
        name, "balancer", "fd0", "r0", f"tcp://{name}:1"
    )
    core = gossip.Gossip(
        row, config_store.ConfigStore(), [], random.Random(SEED)
    )
    core.start(0.0)
    return core


def put_in_force(platform, name):
    known = platform.objects.get(objects.IN_FORCE_KEY)
    versioned = in_force(name, 0)
    version = known.version if known else 0
    platform.write(versioned.key, versioned.body, version)


@given('{count:d} daemons that know preset "{name}" at version {version:d}')
def known_preset(context, count, name, version):
    context.cores = [make_core(f"d{index}") for index in range(count)]
    for core in context.cores:
        core.offer(0.0, [in_force(name, version)])


@when('a peer offers preset "{name}" at version {version:d}')
def offer_stale(context, name, version):
    first, second = context.cores
    first.on_message(0.0, "d1", second._digest(0.0, False))
    stale = in_force(name, version)
    assert first.on_message(0.0, "d1", gossip.pack_objects([stale])) == []
    announce = gossip_messages.Announce([(stale.key, version)])
    assert first.on_message(0.0, "d1", announce) == []


@when("the platform delivers a malformed preset at version {version:d}")
def deliver_malformed(context, version):
    for core in context.cores:
        bad = objects.Versioned(objects.IN_FORCE_KEY, version, b"{")
        assert core.offer(0.0, [bad]) == []
        assert core.counts["rejected"] == 1


@then('the preset "{name}" is in force on all daemons')
def check_in_force(context, name):
    for core in context.cores:
        assert core.store.in_force().preset.name == name


@given("a fleet of {count:d} daemons that know {services:d} services")
def start_fleet(context, count, services):
    context.run = driver.Driver(SEED)
    context.fleet = fleet.Fleet(context.run)
    for index in range(services):
        name = f"s{index}"
        body = objects.encode(objects.Service(name=name))
        context.fleet.platform.write(objects.SERVICE_PREFIX + name, body, 0)
    for index in range(count):
        domain = index % 4
        region = f"r{domain // 2}"
        context.fleet.add(f"h{index}", "balancer", f"fd{domain}", region)
    context.run.run(context.run.now + 20)


@when("the platform goes down")
def platform_down(context):
    context.fleet.platform.down = True


@when("the platform comes back")
def platform_up(context):
    context.fleet.platform.down = False


@when("{seconds:d} seconds pass")
def pass_time(context, seconds):
    context.run.run(context.run.now + seconds)


@when("a daemon starts with the others as peers")
def start_with_peers(context):
    context.node = context.fleet.add("late", "balancer", "fd0", "r0")


@when("a daemon starts without peers")
def start_alone(context):
    context.node = context.fleet.add("late", "balancer", "fd0", "r0", peers=[])


@then("it is synced and knows all objects")
def check_synced(context):
    assert context.node.plane.gossip.synced
    known = context.node.store.version_by_key()
    expected = context.fleet.platform.objects
    assert known == {key: v.version for key, v in expected.items()}


@then("it is not synced")
def check_not_synced(context):
    assert not context.node.plane.gossip.synced


@when("{share:d} percent of all messages are lost")
def lose_messages(context, share):
    context.fleet.loss = share / 100


@when("a preset is put in force")
def change_preset(context):
    put_in_force(context.fleet.platform, f"p{context.run.now}")


@when("the regions lose each other for {seconds:d} seconds")
def split_regions(context, seconds):
    context.fleet.split = True
    pass_time(context, seconds)
    context.fleet.split = False


@then("all daemons agree with the platform")
def check_agree(context):
    expected = {k: v.version for k, v in context.fleet.platform.objects.items()}
    for node in context.fleet.nodes.values():
        assert node.store.version_by_key() == expected, node.row.name


@then("the regions are linked")
def check_linked(context):
    region = {n.row.name: n.row.region for n in context.fleet.nodes.values()}
    assert any(
        region[name] != node.row.region
        for node in context.fleet.nodes.values()
        for name in node.plane.gossip.linked_peers()
    )


@given("two daemons with a link, one in contact with the platform")
def linked_pair(context):
    first, second = make_core("d0"), make_core("d1")
    digest = first._digest(1.0, False)
    for item in second.on_message(1.0, "d0", digest):
        first.on_message(1.0, "d1", item.message)
    context.cores = [first, second]


@when(
    "the other is paused for {seconds:d} seconds while a contact time waits "
    "for it"
)
def pause_with_contact(context, seconds):
    first, second = context.cores
    second.record_platform_contact(2.0, 2.0)
    out = second.on_timer(2.1)
    sent = [item.message for item in out if isinstance(item, gossip.Send)]
    waiting = [m for m in sent if isinstance(m, gossip_messages.Contact)]
    assert len(waiting) == 1, out
    context.now = 2.1 + seconds
    first.on_message(context.now, "d1", waiting[0])


@then("its contact is at least {seconds:d} seconds old")
def check_contact(context, seconds):
    age = context.now - context.cores[0].last_platform_contact
    assert seconds <= age < seconds + 1.0, age


def watchers(context, domain):
    return [
        node
        for node in context.fleet.nodes.values()
        if node.plane.gossip.watching and node.row.failure_domain == domain
    ]


@then("each failure domain has {count:d} watchers")
def check_watchers(context, count):
    for index in range(4):
        found = watchers(context, f"fd{index}")
        assert len(found) == count, [n.row.name for n in found]


@when("the watchers of one failure domain die")
def kill_watchers(context):
    for node in watchers(context, "fd1"):
        context.fleet.stop(node)
