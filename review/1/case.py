"""A new machine uses the address of a lost one; then all daemons are killed."""

import asyncio
import pathlib
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import standins

LOST = 9
# Its name sorts before that of the lost machine: side-abay-10, side-abay-9.
NEW = 10
# Not before `reuse_delay_s` is an address used again.
REUSE_S = 3.0
KNOWN_S = 3.0
RECOVERY_S = 12.0
RESTART_S = 2.0
ATTEMPTS = 20
PAUSE_S = 0.4
# Share of the requests below which nothing has recovered.
SHARE = 0.25


async def served_share(case: standins.Case, phase: str) -> float:
    """Returns the share of some requests of rounds that are served."""
    served = 0
    for number in range(ATTEMPTS):
        flow = case.client.flow(case.route())
        if await flow.connect():
            answer = await flow.request(f"{phase}{number}")
            served += answer == "answer"
        await asyncio.sleep(PAUSE_S)
    case.record.note("served", phase=phase, count=served, of=ATTEMPTS)
    return served / ATTEMPTS


async def play(case: standins.Case) -> bool:
    """Returns True if rounds is served before the final fault and not after."""
    state = case.desired_state(7, {1: "rounds", 2: "wheelbook"})
    # A quarter of the endpoints of wheelbook is lost; rounds has none yet.
    services = dict.fromkeys((1, 2, 3, LOST), "wheelbook")
    await case.start(state, 2, services)
    lost = case.agents[-1]
    case.endpoints[-1].crash()
    await lost.kill()
    case.agents.remove(lost)
    case.record.note("lost-for-good", machine=lost.name, ip=lost.ip)
    await asyncio.sleep(REUSE_S)
    ip = lost.ip if case.trouble else ""
    new = standins.Machine(case, "agent", NEW, "rounds", ip, first=False)
    case.agents.append(new)
    await new.start()
    await case.start_endpoint(new)
    await asyncio.sleep(KNOWN_S)
    before = await served_share(case, "before")
    if before < SHARE:
        raise standins.CannotRunError("rounds was not served")
    for machine in case.balancers + case.agents:
        machine.signal(signal.SIGKILL)
    await asyncio.sleep(RESTART_S + RECOVERY_S)
    after = await served_share(case, "after")
    case.record.note("records", agents=case.store.names("agents"))
    return after < SHARE


if __name__ == "__main__":
    standins.main(__file__, play)
