"""Case 2: a request hidden in the body of another one is run."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).parent.parent / "standins"))
import platform_standins as standins

# None of these has "chunked" as its last coding, so the length of the body
# cannot be known and the request is to be refused.
CODINGS = ["identity", "gzip", "chunked, identity", "xchunked"]


async def send(host, record, name, framing):
    """Sends one request whose body is the text of another one."""
    hidden = standins.request("POST", "/board/2f", f"hidden-{name}",
                              b"departs 18:05")
    head = (f"POST /board/2f HTTP/1.1\r\nHost: {standins.HOST_NAME}\r\n"
            f"X-Request-Id: sent-{name}\r\nX-Deadline-Ms: 1000\r\n"
            f"{framing or f'Content-Length: {len(hidden)}'}\r\n\r\n")
    reader, writer = await asyncio.open_connection("127.0.0.1", host.callers)
    record("sent", id=f"sent-{name}", framing=framing or "Content-Length")
    writer.write(head.encode() + hidden)
    try:
        while True:
            got = await asyncio.wait_for(standins.read_message(reader), 1.5)
            record("answered", status=got.status(),
                   names=got.get("X-Request-Id") or "-")
    except standins.CONNECTION_ERRORS:
        pass
    writer.close()


async def play(record, hosts, folder):
    store = standins.Store()
    await store.start()
    servers = []
    for zone in standins.ZONES:
        server = standins.Server(store, record, "phalak", zone,
                                 standins.free_port())
        await server.start()
        servers.append(server)
    standins.publish_configuration(
        store,
        [standins.make_route("/board/", "non_idempotent", "phalak", 1)],
        ["phalak"])
    hosts.append(standins.Host("edge-1", standins.ZONES[0], store, record,
                               folder))
    hosts[0].start()
    await hosts[0].wait_ready()
    await asyncio.sleep(1)
    for number, coding in enumerate(CODINGS):
        framing = (f"Transfer-Encoding: {coding}"
                   if standins.has_trouble() else None)
        await send(hosts[0], record, str(number), framing)
    runs = [name for server in servers for name in server.runs]
    if not standins.has_trouble() and len(runs) != len(CODINGS):
        raise standins.CannotRun("requests with a length did not run")
    smuggled = [name for name in runs if name.startswith("hidden-")]
    emptied = [name for server in servers
               for name, message in server.runs.items()
               if name.startswith("sent-") and not message.body]
    record("judged", smuggled=smuggled, run_without_body=emptied)
    print(f"run though smuggled inside another request: {smuggled}")
    print(f"run with its body changed to none: {emptied}")
    return bool(smuggled or emptied)


standins.run_case(play)
