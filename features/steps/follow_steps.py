import asyncio
import random

from behave import given
from behave import then
from behave import when

from crocusmux import errors
from crocusmux import forwarding
from crocusmux.daemons import follow
from features import loop as paused


class FakeStore:
    """Store whose watches wait until a test ends them."""

    def __init__(self):
        self.object = forwarding.StoredObject("main", 1, b"1")
        self.failing = False
        self.forgets = False
        self.lists = 0
        self.asked = 0
        self.waiting = []

    async def list(self, kind):
        del kind
        self._count()
        self.lists += 1
        return forwarding.ObjectChanges(
            self.object.revision, (self.object,), full=True
        )

    async def watch(self, kind, revision, wait_s):
        del kind, wait_s
        self._count()
        if revision != self.object.revision and not self.forgets:
            return forwarding.ObjectChanges(
                self.object.revision, (self.object,)
            )
        # Otherwise changes before this watch are gone, and nothing says so.
        fut = asyncio.get_running_loop().create_future()
        self.waiting.append(fut)
        return await fut

    def change(self, revision):
        text = str(revision).encode()
        self.object = forwarding.StoredObject("main", revision, text)

    def end_watch(self, result):
        fut = self.waiting.pop()
        if isinstance(result, Exception):
            fut.set_exception(result)
        else:
            fut.set_result(result)

    def _count(self):
        self.asked += 1
        if self.failing:
            raise unavailable()


def unavailable():
    return errors.PlatformUnavailableError("cut", step="watch", peer="store")


@given("a store with the object main at 1 that is followed")
def followed(context):
    context.loop = paused.PausedLoop()
    context.store = FakeStore()
    context.delivered = []
    follower = follow.Follower(
        context.store, "config", context.delivered.append, random.Random(1)
    )
    context.task = context.loop.create_task(follower.run())
    context.add_cleanup(stop, context)
    context.loop.advance_until(lambda: context.store.waiting, 0.1, 3.0)


def stop(context):
    context.task.cancel()
    context.loop.run_until_complete(
        asyncio.gather(context.task, return_exceptions=True)
    )
    context.loop.close()


@when("the watch is cut and main changes to {revision:d} unseen")
def cut(context, revision):
    context.store.forgets = True
    context.store.change(revision)
    context.store.end_watch(unavailable())


@when("the store drops its history and main changes to {revision:d} unseen")
def compacted(context, revision):
    context.store.change(revision)
    context.store.end_watch(None)


@when("main changes to {revision:d}")
def changes(context, revision):
    context.store.change(revision)
    batch = forwarding.ObjectChanges(revision, (context.store.object,))
    context.store.end_watch(batch)


@when("main changes {count:d} times in {seconds:g} s")
def changes_in_series(context, count, seconds):
    context.store.asked = 0
    for revision in range(2, 2 + count):
        context.store.change(revision)
        if context.store.waiting:
            batch = forwarding.ObjectChanges(revision, (context.store.object,))
            context.store.end_watch(batch)
        end = context.loop.time() + seconds / count
        context.loop.advance_until(
            lambda end=end: context.loop.time() >= end, 0.05, 1.0
        )


@then("the store was called at most {count:d} times")
def asked_at_most(context, count):
    assert context.store.asked <= count, context.store.asked


@when("the store fails for {seconds:d} s")
def fails(context, seconds):
    context.store.failing = True
    context.store.asked = 0
    context.delivered.clear()
    context.store.end_watch(unavailable())
    end = context.loop.time() + seconds
    context.loop.advance_until(
        lambda: context.loop.time() >= end, 0.05, 2 * seconds
    )


@when("the store is back")
def is_back(context):
    context.store.failing = False


@then("it was called between {low:d} and {high:d} times")
def asked(context, low, high):
    assert low <= context.store.asked <= high, context.store.asked


@then("main is delivered at {revision:d}")
def delivered(context, revision):
    def found():
        items = [i for batch in context.delivered for i in batch.items]
        return any(item.revision == revision for item in items)

    context.loop.advance_until(found, 0.1, 3.0)


@then("the last delivery was a full list")
def full_list(context):
    assert context.delivered[-1].full


@then("{count:d} list was read")
def lists_read(context, count):
    assert context.store.lists == count
