"""Small HTTP/1.1 reader and server for the stand-ins; standard library only."""
import asyncio


class Ended(Exception):
    """The connection ended, or its bytes are no message."""


class Message:
    """A request or a response. Header names are in lower case."""

    def __init__(self, start, headers, body=b""):
        self.start = start
        self.headers = headers
        self.body = body

    @property
    def status(self):
        return int(self.start.split(" ")[1])

    @property
    def method(self):
        return self.start.split(" ")[0]

    @property
    def target(self):
        return self.start.split(" ")[1]


async def read_head(reader):
    try:
        text = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    except (asyncio.IncompleteReadError, asyncio.LimitOverrunError,
            OSError) as error:
        raise Ended(str(error) or type(error).__name__) from error
    lines = text[:-4].split("\r\n")
    if len(lines[0].split(" ")) < 3:
        raise Ended("no start line")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return Message(lines[0], headers)


async def read_body(reader, message):
    try:
        if message.headers.get("transfer-encoding", "").lower() == "chunked":
            body = b""
            while True:
                size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
                chunk = await reader.readexactly(size + 2)
                if size == 0:
                    break
                body += chunk[:-2]
            message.body = body
        else:
            size = int(message.headers.get("content-length", "0"))
            message.body = await reader.readexactly(size)
    except (asyncio.IncompleteReadError, asyncio.LimitOverrunError, OSError,
            ValueError) as error:
        raise Ended(str(error) or type(error).__name__) from error
    return message


async def read_message(reader):
    return await read_body(reader, await read_head(reader))


def response(status, headers, body=b"", reason="Answer"):
    lines = [f"HTTP/1.1 {status} {reason}"]
    lines += [f"{name}: {value}" for name, value in headers]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


def request(method, target, headers, body=b""):
    lines = [f"{method} {target} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


async def serve(reader, writer, handle):
    """Answers the requests of one connection in turn.

    handle(message, connection) returns bytes, or None to end the connection.
    """
    connection = {"writer": writer}
    try:
        while True:
            message = await read_message(reader)
            answer = await handle(message, connection)
            if answer is None:
                return
            writer.write(answer)
            await writer.drain()
    except (Ended, OSError):
        return
    finally:
        writer.close()
