"""Case 1: a stream that its server's crash cut off ends as if it were complete.
The server crashes behind a cut and starts again."""

import asyncio
import os
import pathlib
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).parent.parent / "standins"))
import platform_standins as standins
import streams

CUT_AFTER_S = 1.0         # From the start of the streams.
CRASH_AFTER_CUT_S = 1.0   # At the earliest: right after the next heartbeat.
DOWN_S = 2.0              # From the crash to the new start.
HEAL_AFTER_START_S = 0.3
# TROUBLE=freeze stops one host instead of cutting the server off.
IS_FREEZE = os.environ.get("TROUBLE") == "freeze"


def signal_host(host, record, number):
    host.process.send_signal(number)
    record("signal", host=host.name, number=int(number))


async def cut_and_crash(server, link, store, record, hosts):
    await asyncio.sleep(CUT_AFTER_S)
    if IS_FREEZE:
        signal_host(hosts[0], record, signal.SIGSTOP)
    else:
        link.is_open.clear()
        record("cut", server=server.id)
    cut = time.monotonic()
    await asyncio.sleep(CRASH_AFTER_CUT_S)
    beaten_at = server.beaten_at
    while server.beaten_at == beaten_at:
        await asyncio.sleep(0.01)
    server.crash()
    await asyncio.sleep(DOWN_S)
    again = streams.StreamServer(store, record, server.service, server.zone,
                         server.port)
    again.public_port = server.public_port
    await again.start()
    record("started_again", server=again.id)
    await asyncio.sleep(HEAL_AFTER_START_S)
    if IS_FREEZE:
        signal_host(hosts[0], record, signal.SIGCONT)
    link.is_open.set()
    record("healed", after_s=round(time.monotonic() - cut, 2))


async def play(record, hosts, folder):
    store = standins.Store()
    await store.start()
    servers = []
    links = []
    for zone in standins.ZONES:
        server = streams.StreamServer(store, record, "katha", zone,
                              standins.free_port())
        link = standins.Link(server.port)
        server.public_port = link.port
        await link.start()
        await server.start()
        servers.append(server)
        links.append(link)
    standins.publish_configuration(
        store, [standins.make_route("/alert/", "stream", "katha", 1, 17000,
                                    3000)], ["katha"])
    for number, zone in enumerate(standins.ZONES):
        hosts.append(standins.Host(f"edge-{number}", zone, store, record,
                                   folder))
        hosts[-1].start()
    for host in hosts:
        await host.wait_ready()
    await asyncio.sleep(1)
    asked = [asyncio.ensure_future(streams.ask(hosts[number % 4], record,
                                       f"a{number}"))
             for number in range(12)]
    if standins.has_trouble():
        await cut_and_crash(servers[0], links[0], store, record, hosts)
    answers = await asyncio.gather(*asked)
    short = [f"{name}: {len(ids)} of {streams.EVENTS}"
             for name, ids, is_complete in answers
             if is_complete and ids != list(range(1, streams.EVENTS + 1))]
    whole = sum(1 for _, ids, is_complete in answers
                if is_complete and len(ids) == streams.EVENTS)
    record("judged", ended_early_as_complete=short, whole=whole)
    print(f"whole: {whole} of {len(answers)}")
    print(f"ended as complete before the last piece: {short}")
    if whole == 0:
        raise standins.CannotRun("no stream was served")
    return bool(short)


standins.run_case(play)
