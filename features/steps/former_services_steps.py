from behave import given
from behave import then
from behave import when

from features.steps import forward_path_steps as forward_path


@given(
    "a store with a route to rounds, 2 balancers and agents of rounds and"
    " wheelbook"
)
def path_with_two_services(context):
    context.services = {2: "wheelbook"}
    forward_path.whole_path(context)


def start_again(context, number):
    context.first_start = False
    return forward_path.start_daemon(context, "balancer", number).core


@when("balancer 3 starts again and is ready")
def start_third(context):
    core = start_again(context, 3)
    forward_path.wait_until(context, core.ready)


@when("balancer 3 starts again with balancers 2 and 1 as its seeds")
def start_with_seeds(context):
    context.seeds = (2, 1)
    start_again(context, 3)
    context.seeds = (1,)


@when("balancer {number:d} is killed and starts again")
def kill_and_start(context, number):
    forward_path.kill_daemon(context, "balancer", number)
    core = start_again(context, number)
    forward_path.wait_until(context, core.ready)


@when("balancers 1 and 2 are killed and start again")
def kill_all_balancers(context):
    for number in (1, 2):
        forward_path.kill_daemon(context, "balancer", number)
    cores = [start_again(context, number) for number in (1, 2)]
    forward_path.wait_until(context, lambda: all(x.ready() for x in cores))


@when("the balancer waits for its peers")
def wait_for_peers(context):
    context.core.routes.awaits_former_services = True


@when("no peer knows the former services")
def end_wait(context):
    context.core.routes.awaits_former_services = False


@given("a balancer that knows no former services")
def no_former_services(context):
    context.core.routes.knows_former_services = False


@then("balancers 2 and 3 know that the route led to rounds within 2 s")
def know_former_services(context):
    cores = [context.daemons["balancer", number].core for number in (2, 3)]

    def known():
        former = [x.routes.former_services() for x in cores]
        return all(x and x[0].services == ("rounds",) for x in former)

    forward_path.wait_until(context, known, 2.0)


@when("the store answers no watch on the configuration any more")
def lose_watches(context):
    context.standin.lost_watches.add("config")


@when("the operator moves the route to wheelbook unseen")
def move_route_unseen(context):
    forward_path.publish_routes(context, 2, [8443], "wheelbook")
    core = context.daemons["balancer", 2].core
    assert core.routes.version == 1
