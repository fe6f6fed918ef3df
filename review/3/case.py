"""Case 3: a host that is stopped cuts whole streams of a server that leaves."""

import asyncio
import pathlib
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).parent.parent / "standins"))
import platform_standins as standins
import streams

STOP_AFTER_S = 0.5        # From the start of the streams.
LEAVE_AFTER_S = 0.5       # From the SIGTERM.
PARTS = 12


async def stop_and_leave(server, host, store, record):
    """A planned stop of a host, and a server that leaves: its entry is removed
    and it goes on serving until its requests have ended."""
    await asyncio.sleep(STOP_AFTER_S)
    host.process.send_signal(signal.SIGTERM)
    record("sigterm", host=host.name)
    await asyncio.sleep(LEAVE_AFTER_S)
    server.heart.cancel()
    store.put("keyed.servers", server.id, None)
    record("entry_removed", server=server.id, running=server.running)


async def play(record, hosts, folder):
    store = standins.Store()
    await store.start()
    servers = []
    for zone in standins.ZONES:
        server = streams.StreamServer(store, record, "katha", zone,
                                      standins.free_port())
        await server.start()
        servers.append(server)
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
    asked = [asyncio.ensure_future(streams.ask(hosts[0], record, f"a{number}"))
             for number in range(PARTS)]
    if standins.has_trouble():
        await stop_and_leave(servers[0], hosts[0], store, record)
    answers = await asyncio.gather(*asked)
    whole = [name for name, ids, is_complete in answers
             if is_complete and len(ids) == streams.EVENTS]
    cut = [f"{name}: {len(ids)} of {streams.EVENTS}"
           for name, ids, is_complete in answers if not is_complete]
    at_leaving = sorted(servers[0].runs)
    record("judged", whole=whole, cut=cut, ran_at_leaving_server=at_leaving)
    print(f"whole: {len(whole)} of {PARTS}; run by the server that left: "
          f"{len(at_leaving)}")
    print(f"cut though the server sent all: {cut}")
    if not whole or not at_leaving:
        raise standins.CannotRun("the streams were not spread over the servers")
    return bool(cut)


standins.run_case(play)
