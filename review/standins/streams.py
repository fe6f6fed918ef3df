"""Streams that have no length and end with their connection."""

import asyncio

import platform_standins as standins

EVENTS = 50
EVENT_S = 0.1


class StreamServer(standins.Server):
    """Answers each request with a stream that has no length and ends with its
    connection."""

    async def handle(self, message, writer):
        expected = message.get("X-Expect-Instance")
        request_id = message.get("X-Request-Id")
        if (message.target() == "/healthz" or not request_id or
                expected not in ("", self.id)):
            writer.write(await self.reply(message))
            return
        self.runs[request_id] = message
        self.record("run", server=self.id, id=request_id)
        self.running += 1
        try:
            await self.stream(request_id, writer)
        finally:
            self.running -= 1
        self.record("run_ended", server=self.id, id=request_id)
        raise ConnectionError("a stream ends with its connection")

    async def stream(self, request_id, writer):
        writer.write(
            f"HTTP/1.1 200 -\r\nX-Request-Id: {request_id}\r\n"
            f"X-Server-Seal: {self.id}.{request_id}\r\n"
            "Content-Type: text/event-stream\r\nConnection: close\r\n"
            "\r\n".encode())
        for number in range(1, EVENTS + 1):
            await asyncio.sleep(EVENT_S)
            if writer.transport.is_closing():
                raise ConnectionError("the connection is closed")
            writer.write(f"id: {number}\ndata: stop closed\n\n".encode())
            await writer.drain()


async def ask(host, record, request_id):
    """Returns the ids of the events and whether the stream ended as complete."""
    reader, writer = await asyncio.open_connection("127.0.0.1", host.callers)
    record("sent", id=request_id, host=host.name)
    writer.write(standins.request("POST", "/alert/2f", request_id, b"a notice",
                                  17000))
    data = b""
    is_complete = False
    try:
        head = await standins.read_head(reader)
        if head.get("Transfer-Encoding").lower() == "chunked":
            while True:
                size = int(await reader.readuntil(b"\r\n"), 16)
                data += await reader.readexactly(size)
                await reader.readexactly(2)
                if size == 0:
                    break
        else:
            # Without a length, an orderly end of the connection is the end.
            while part := await reader.read(65536):
                data += part
        is_complete = head.status() == 200
    except standins.CONNECTION_ERRORS as error:
        record("broken_off", id=request_id, why=type(error).__name__)
    writer.close()
    ids = [int(line[4:]) for line in data.decode().split("\n")
           if line.startswith("id: ")]
    record("answered", id=request_id, events=len(ids),
           last=ids[-1] if ids else 0, ended_as_complete=is_complete)
    return request_id, ids, is_complete
