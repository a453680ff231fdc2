from behave import given
from behave import then
from behave import when

from crocusmux.core.forward import heartbeats


def heartbeat(born, sequence, draining=False, slots=2):
    return heartbeats.Heartbeat(
        upstream="i-1",
        born_ms=born,
        sequence=sequence,
        service="rounds",
        address=("10.0.1.1", 8165),
        slots=slots,
        draining=draining,
        warmup_s=0.0,
    )


@given(
    "an upstream of boot {born:d} with sequence {sequence:d} that is {state}"
)
def upstream_of_boot(context, born, sequence, state):
    context.now = 50.0
    context.lifecycle = heartbeats.UpstreamLifecycle(1.2)
    first = heartbeat(born, sequence, state == "draining")
    assert context.lifecycle.on_heartbeat(context.now, first)


@when(
    "{seconds:d} s later a heartbeat of boot {born:d} with sequence"
    " {sequence:d} says {state}"
)
def later_heartbeat(context, seconds, born, sequence, state):
    context.now += seconds
    beat = heartbeat(born, sequence, state == "draining")
    context.applied = context.lifecycle.on_heartbeat(context.now, beat)


@when("{seconds:d} s later an announcement of its end arrives")
def end_announced(context, seconds):
    context.now += seconds
    context.lifecycle.deregister(context.now)


@then("it {counts} and the upstream is {state}")
def check_state(context, counts, state):
    assert context.applied == (counts == "counts")
    assert context.lifecycle.draining() == (state == "draining")
