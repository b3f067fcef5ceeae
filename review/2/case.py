import asyncio
import pathlib
import signal
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins"))
import diameter as d
import site_parts as s
from diameter_client import Client

TILLS = 80
INTERVAL = 0.006      # between two top-ups
RECONNECT = 0.1       # until a client connects again
BREAK_AFTER = 0.01    # from SIGTERM until the clients' connections break


async def main():
    async with s.Case(HERE) as case:
        return await play(case)


async def play(case):
    site = s.DiameterSite(case)
    entries = await site.start([["a1", "a2"], ["b1", "b2"]], "--window", "0.75", "--work", "0.04")
    agent = await s.Agent(entries).start()
    ports, gateways = {}, {}
    for me, name in enumerate(("gw1", "gw2")):
        listen, ports[name] = s.free_port(), s.free_port()
        operator = s.diameter_table(case.tmp, name, ports[name])
        gateways[name] = await case.gateway(
            name, s.config(name, listen, agent, s.settings(2, me), entries), operator)
        await s.until_ready(listen)
    await asyncio.sleep(0.5)
    warm = await Client("warm.example.org").connect(ports["gw1"])
    for number in range(20):
        await asyncio.wait_for(warm.send(f"warm;{number}", d.EVENT, 0, customer="4512345670", action=0), 5)
    warm.close()

    results, sent_to_gw2 = {}, {}
    loop = asyncio.get_running_loop()

    async def till(number):
        """A top-up. When the connection breaks, it is repeated with the T bit over a new one (RFC 6733, 5.5.4). When
        it is refused with 3004 ("not executed") it is sent to the other gateway."""
        host, session = f"till-{number}.example.org", f"till-{number}.example.org;1;1"
        request = (session, d.EVENT, 0)
        terms = {"customer": f"45{number:08}", "action": 0, "ident": 7000 + number}
        got = results[session] = []
        client = await Client(host).connect(ports["gw1"])
        await asyncio.sleep(max(0.0, begin + number * INTERVAL - loop.time()))
        case.note(f"{session}: sent to gw1")
        sent = loop.time()
        answer = client.send(*request, **terms)
        if not broken.done():
            await asyncio.wait([answer, broken], timeout=5, return_when=asyncio.FIRST_COMPLETED)
        if not answer.done() and broken.done() and broken.result() > sent:
            client.close()
            await asyncio.sleep(RECONNECT)
            client = await Client(host).connect(ports["gw1"])
            case.note(f"{session}: the connection to gw1 broke, repeated to gw1 with the T bit")
            answer = client.send(*request, again=True, **terms)
        m = await asyncio.wait_for(answer, 5)
        got.append(m and m.number(d.RESULT))
        case.note(f"{session}: gw1 answered {got[-1]}")
        if got[-1] == 3004:
            client.close()
            client = await Client(host).connect(ports["gw2"])
            sent_to_gw2[session] = time.time()
            case.note(f"{session}: sent to gw2, as gw1 says that it was not executed")
            m = await asyncio.wait_for(client.send(*request, **terms), 5)
            got.append(m and m.number(d.RESULT))
            case.note(f"{session}: gw2 answered {got[-1]}")
        client.close()

    broken = loop.create_future()
    begin = loop.time() + 0.3
    tills = [asyncio.ensure_future(till(n)) for n in range(TILLS)]
    await asyncio.sleep(0.3 + TILLS / 2 * INTERVAL)
    if s.TROUBLE:
        gateways["gw1"].send_signal(signal.SIGTERM)
        case.note("SIGTERM to gw1")
        await asyncio.sleep(BREAK_AFTER)
        broken.set_result(loop.time())
        case.note("all connections to gw1 break")
    done, pending = await asyncio.wait(tills, timeout=15)
    for task in done:
        task.result()
    if pending:
        raise RuntimeError("a client got no answer")
    await asyncio.sleep(0.5)

    if sum(2001 in got for got in results.values()) < TILLS / 2:
        raise RuntimeError("most top-ups were not served: nothing can be said")

    # Refused by gw1 although a server had run it, which can only be by gw1's doing: it was not sent to gw2 yet.
    false = 0
    for at, server, _, (session, _), ran, _ in site.arrivals:
        if ran and session in results and results[session][0] == 3004 and at < sent_to_gw2[session]:
            false += 1
            case.note(f"BROKEN: {session} was run at {server}, and gw1 answered 3004 (not executed)")
    twice = {key[0]: names for key, names in site.runs().items() if len(names) > 1}
    for session, names in twice.items():
        case.note(f"BROKEN: {session} was run twice, at {names}")
    summary = f"of {TILLS} top-ups {false} were run and refused as not executed, {len(twice)} were run twice"
    case.note(summary)
    print(summary)
    return s.BROKEN if false or twice else s.HELD

s.run_case(main)
