import asyncio
import random

from behave import given
from behave import then
from behave import when

from crocusmux import errors
from crocusmux import forwarding
from crocusmux.daemons import follow
from features import loop as event_loop


class FakeStore:
    """Store whose watches wait until a test ends them."""

    def __init__(self):
        self.object = forwarding.StoredObject("main", 1, b"1")
        self.failing = False
        self.drops_changes = False
        self.list_count = 0
        self.call_count = 0
        self.pending_watches = []
        self.stale_allowed = False

    async def list(self, kind):
        del kind
        self._count()
        self.list_count += 1
        return forwarding.Changes(
            self.object.revision, (self.object,), full=True
        )

    async def watch(self, kind, revision, wait_s, allow_stale=False):
        del kind
        if wait_s == follow.CHECK_WAIT_S:
            return await self.answer_check(revision, wait_s)
        self.stale_allowed = allow_stale
        self._count()
        if revision != self.object.revision and not self.drops_changes:
            return forwarding.Changes(self.object.revision, (self.object,))
        # Otherwise the watch misses earlier changes without an error.
        fut = asyncio.get_running_loop().create_future()
        self.pending_watches.append(fut)
        return await fut

    async def answer_check(self, revision, wait_s):
        await asyncio.sleep(wait_s)
        if self.failing:
            raise unavailable()
        changed = revision != self.object.revision
        items = (self.object,) if changed else ()
        return forwarding.Changes(self.object.revision, items)

    def change(self, revision):
        spec = str(revision).encode()
        self.object = forwarding.StoredObject("main", revision, spec)

    def end_watch(self, result):
        fut = self.pending_watches.pop()
        if isinstance(result, Exception):
            fut.set_exception(result)
        else:
            fut.set_result(result)

    def _count(self):
        self.call_count += 1
        if self.failing:
            raise unavailable()


def unavailable():
    return errors.PlatformUnavailableError("cut", step="watch", peer="store")


@given("a store with the object main at 1 that is followed")
def start_exact_follower(context):
    start_follower(context, 1, allow_stale=False)


@given(
    "a store with the object main at {revision:d} that is followed and may be"
    " stale"
)
def start_stale_follower(context, revision):
    start_follower(context, revision, allow_stale=True)


@given("a store with the object main at 1 that is followed with checks")
def start_checked_follower(context):
    start_follower(context, 1, allow_stale=False, check=True)


@when("the store loses the watch and main changes to {revision:d}")
def lose_watch(context, revision):
    context.store.change(revision)


@when("checks fail for {seconds:d} s")
def checks_fail(context, seconds):
    context.store.failing = True
    end = context.loop.time() + seconds
    context.loop.advance_until(
        lambda: context.loop.time() >= end, 0.05, 2 * seconds
    )
    context.store.failing = False


@then("it is delivered within {seconds:d} s and watched on")
def delivered_soon(context, seconds):
    context.loop.advance_until(
        lambda: context.delivered[-1].revision == 2, 0.1, seconds
    )
    watches = len(context.store.pending_watches)
    context.loop.advance_until(
        lambda: len(context.store.pending_watches) > watches, 0.1, 3.0
    )


def start_follower(context, revision, allow_stale, check=False):
    context.loop = event_loop.PausedLoop()
    context.store = FakeStore()
    context.store.change(revision)
    context.delivered = []
    follower = follow.Follower(
        context.store,
        "config",
        context.delivered.append,
        random.Random(1),
        allow_stale=allow_stale,
        check=check,
    )
    context.task = context.loop.create_task(follower.run())
    context.add_cleanup(stop_follower, context)
    context.loop.advance_until(lambda: context.store.pending_watches, 0.1, 3.0)


def stop_follower(context):
    context.task.cancel()
    context.loop.run_until_complete(
        asyncio.gather(context.task, return_exceptions=True)
    )
    context.loop.close()


@when("the watch is cut and main changes to {revision:d} unseen")
def cut_watch(context, revision):
    context.store.drops_changes = True
    context.store.change(revision)
    context.store.end_watch(unavailable())


@when("the store drops its history and main changes to {revision:d} unseen")
def drop_history(context, revision):
    context.store.change(revision)
    context.store.end_watch(None)


@when("main changes to {revision:d}")
def change_main(context, revision):
    context.store.change(revision)
    batch = forwarding.Changes(revision, (context.store.object,))
    context.store.end_watch(batch)


@when("main changes {count:d} times in {seconds:g} s")
def change_main_repeatedly(context, count, seconds):
    context.store.call_count = 0
    for revision in range(2, 2 + count):
        context.store.change(revision)
        if context.store.pending_watches:
            batch = forwarding.Changes(revision, (context.store.object,))
            context.store.end_watch(batch)
        end = context.loop.time() + seconds / count
        context.loop.advance_until(
            lambda end=end: context.loop.time() >= end, 0.05, 1.0
        )


@then("the store was called at most {count:d} times")
def called_at_most(context, count):
    assert context.store.call_count <= count, context.store.call_count


@when("the store fails for {seconds:d} s")
def store_fails(context, seconds):
    context.store.failing = True
    context.store.call_count = 0
    context.delivered.clear()
    context.store.end_watch(unavailable())
    end = context.loop.time() + seconds
    context.loop.advance_until(
        lambda: context.loop.time() >= end, 0.05, 2 * seconds
    )


@when("the store is back")
def store_recovers(context):
    context.store.failing = False


@then("it was called between {low:d} and {high:d} times")
def called_between(context, low, high):
    assert low <= context.store.call_count <= high, context.store.call_count


@then("main is delivered at {revision:d}")
def delivered(context, revision):
    def is_delivered():
        items = [i for batch in context.delivered for i in batch.items]
        return any(item.revision == revision for item in items)

    context.loop.advance_until(is_delivered, 0.1, 3.0)


@then("the last delivery was a full list")
def full_list(context):
    assert context.delivered[-1].full


@then("{count:d} list was read")
def check_lists(context, count):
    assert context.store.list_count == count


@when("a watch is answered with main at {revision:d}")
def answer_stale(context, revision):
    item = forwarding.StoredObject("main", revision, b"old")
    context.store.end_watch(forwarding.Changes(revision, (item,)))
    context.loop.advance_until(lambda: context.store.pending_watches, 0.1, 3.0)


@then("main at {revision:d} is not delivered")
def not_delivered(context, revision):
    items = [item for batch in context.delivered for item in batch.items]
    assert all(item.revision != revision for item in items), items


@then("the watch allows stale results")
def check_stale_allowed(context):
    assert context.store.stale_allowed
