from behave import then

from features import balancer_sample


@then("agent {host:w} alone is offered the flow")
def offered_to(context, host):
    hosts = balancer_sample.offered_hosts(context)
    assert hosts == [host], hosts


@then("no agent is offered the flow")
def offered_to_none(context):
    hosts = balancer_sample.offered_hosts(context)
    assert not hosts, hosts


@then("agent {host:w} is not among them")
def not_offered_to(context, host):
    assert host not in context.offered, context.offered
