import asyncio
import pathlib
import signal
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins"))
import diameter as d
import site_parts as s
from diameter_client import Client

HANG = 1.2          # one of four servers hangs for so long
SESSIONS = 80       # a client sends an UPDATE in each of them every 1.6 s
INTERVAL = 0.02


async def main():
    async with s.Case(HERE) as case:
        return await play(case)


async def play(case):
    site = s.DiameterSite(case)
    entries = await site.start([["a1", "a2"], ["b1", "b2"]], "--window", "0.75", "--work", "0.04")
    agent = await s.Agent(entries).start()
    listen, diameter_port = s.free_port(), s.free_port()
    operator = s.diameter_table(case.tmp, "gw", diameter_port)
    await case.gateway("gw", s.config("gw", listen, agent, s.settings(), entries), operator)
    await s.until_ready(listen)
    await asyncio.sleep(0.5)
    till = await Client("till.example.org").connect(diameter_port)

    # Sessions are opened one after another; each stays with the server that opened it, as its client asks for.
    sessions = [f"till.example.org;1;{i}" for i in range(SESSIONS)]
    for session in sessions:
        answer = await asyncio.wait_for(till.send(session, d.INITIAL, 0, customer="4512345678"), 5)
        if answer.number(d.RESULT) != 2001:
            raise RuntimeError("a session could not be opened")

    served = []

    async def update(session, number):
        case.note(f"client: {session} request {number} sent")
        answer = await till.send(session, d.UPDATE, number)
        served.append(answer is not None and answer.number(d.RESULT) == 2001)
        case.note(f"client: {session} request {number} answered {answer and answer.number(d.RESULT)}")

    async def hang():
        await asyncio.sleep(1.5)
        if s.TROUBLE:
            site.processes["a1"].send_signal(signal.SIGSTOP)
            case.note("a1 hangs")
            await asyncio.sleep(HANG)
            site.processes["a1"].send_signal(signal.SIGCONT)
            case.note("a1 goes on")

    hanging = asyncio.ensure_future(hang())
    tasks = []
    for number in (1, 2, 3):
        for session in sessions:
            tasks.append(asyncio.ensure_future(update(session, number)))
            await asyncio.sleep(INTERVAL)
    await hanging
    await asyncio.wait(tasks, timeout=3)
    await asyncio.sleep(1)
    till.close()
    if sum(served) < 3 * SESSIONS / 2:
        raise RuntimeError("most charges were not served: nothing can be said")

    # A second copy, which the gateway marks with the T bit, came to a server before the first one was answered on its
    # connection, which stayed open.
    together = 0
    for at, server, _, key, _, t_flag in site.arrivals:
        for _, first, connection, other, _, other_t in site.arrivals:
            if not t_flag or other != key or first == server or other_t:
                continue
            out_until = site.answers.get((first, connection, key))
            if out_until and out_until > at:
                together += 1
                case.note(f"BROKEN: {key[0]} request {key[1]}: a second attempt came to {server} while the first was out at {first}, "
                          f"which answered it {out_until - at:.3f} s later")
    twice = {key: names for key, names in site.runs().items() if len(names) > 1}
    for key, names in twice.items():
        case.note(f"BROKEN: {key[0]} request {key[1]} was run twice, at {names}")
    summary = f"{together} charges had two attempts out together, {len(twice)} were run twice"
    case.note(summary)
    print(summary)
    return s.BROKEN if together or twice else s.HELD

s.run_case(main)
