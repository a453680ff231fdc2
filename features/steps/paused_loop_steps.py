import asyncio
import time

from behave import then
from behave import when

from features import loop as paused

# Long in turns of the loop.
CALL_S = 0.05
STEP_S = 0.1
LIMIT_S = 400.0


@when("a call in a thread is awaited with a timeout of {timeout:g} s")
def await_call(context, timeout):
    loop = paused.PausedLoop()
    context.add_cleanup(loop.close)

    async def call():
        await asyncio.wait_for(asyncio.to_thread(time.sleep, CALL_S), timeout)

    context.task = loop.create_task(call())
    loop.advance_until(context.task.done, STEP_S, LIMIT_S)


@then("it ends without a timeout")
def check_ended(context):
    context.task.result()
