"""HTTP/1.1 over asyncio streams, by h11: one server loop and one client call."""
import asyncio
import dataclasses

import h11

import answers

BLOCK = 65536  # bytes read at once


@dataclasses.dataclass
class Request:
    """A whole request; header names are in lower case."""
    method: str
    target: str
    headers: dict
    body: bytes


@dataclasses.dataclass
class Answer:
    """A whole answer; header names are in lower case."""
    status: int
    headers: dict
    body: bytes
    closes: bool = False


class Broken(Exception):
    """The other side ended the connection or sent what cannot be read."""


def headers_of(event):
    return {name.decode(): value.decode("latin-1")
            for name, value in event.headers}


async def next_event(state, reader):
    """The next event of a connection; reads as long as none is whole."""
    while True:
        try:
            event = state.next_event()
        except h11.RemoteProtocolError as error:
            raise Broken(str(error)) from error
        if event is not h11.NEED_DATA:
            return event
        try:
            state.receive_data(await reader.read(BLOCK))
        except OSError as error:
            raise Broken(str(error)) from error


async def read_body(state, reader):
    body = b""
    while True:
        event = await next_event(state, reader)
        if isinstance(event, h11.Data):
            body += event.data
        elif isinstance(event, h11.EndOfMessage):
            return body
        else:
            raise Broken("the message ended early")


async def serve(reader, writer, handle, begin=None):
    """Answers requests of one connection until it ends.

    handle(request, writer) gives an Answer, a RawAnswer, or None to end the
    connection. begin(request) may give a RawAnswer before the body is read.
    """
    state = h11.Connection(h11.SERVER)
    try:
        while True:
            event = await next_event(state, reader)
            if not isinstance(event, h11.Request):
                return
            request = Request(event.method.decode(), event.target.decode(),
                              headers_of(event), b"")
            answer = await begin(request) if begin is not None else None
            if answer is not None:
                await answers.send(answer, reader, writer)
                return
            request.body = await read_body(state, reader)
            answer = await handle(request, writer)
            if answer is None:
                return
            if isinstance(answer, answers.RawAnswer):
                if not await answers.send(answer, reader, writer):
                    return
                state.send(h11.Response(status_code=200, headers=[
                    ("Content-Length", "0")]))
                state.send(h11.EndOfMessage())
                state.start_next_cycle()
                continue
            fields = dict(answer.headers)
            fields["Content-Length"] = str(len(answer.body))
            if answer.closes:
                fields["Connection"] = "close"
            writer.write(state.send(h11.Response(
                status_code=answer.status, headers=list(fields.items()))))
            writer.write(state.send(h11.Data(data=answer.body)))
            writer.write(state.send(h11.EndOfMessage()) or b"")
            await writer.drain()
            if state.our_state is h11.MUST_CLOSE or \
                    state.their_state is h11.MUST_CLOSE:
                return
            state.start_next_cycle()
    except (Broken, OSError, h11.LocalProtocolError):
        return
    finally:
        writer.close()


@dataclasses.dataclass
class Sending:
    """How a body goes out."""
    chunked: bool = False
    pieces: list = None       # sizes; None: all at once
    pauses: list = None       # seconds after each piece


class Exchange:
    """A request on its way and its answer, on a connection of a caller."""

    def __init__(self, client, request, sending):
        self.client = client
        self.state = h11.Connection(h11.CLIENT)
        fields = dict(request.headers)
        if sending.chunked:
            fields["Transfer-Encoding"] = "chunked"
        elif request.body or request.method == "POST":
            fields["Content-Length"] = str(len(request.body))
        self.write(h11.Request(method=request.method, target=request.target,
                               headers=list(fields.items())))
        self.sender = None
        if sending.pieces:
            self.sender = asyncio.create_task(
                self.send_pieces(request.body, sending))
        else:
            self.write(h11.Data(data=request.body))
            self.write(h11.EndOfMessage())

    def write(self, event):
        self.client.writer.write(self.state.send(event) or b"")

    async def send_pieces(self, body, sending):
        at = 0
        try:
            for size, pause in zip(sending.pieces, sending.pauses):
                self.write(h11.Data(data=body[at:at + size]))
                at += size
                await self.client.writer.drain()
                await asyncio.sleep(pause)
            self.write(h11.EndOfMessage())
        except (OSError, h11.LocalProtocolError):
            pass               # The answer, or the lack of one, tells.

    async def answer(self):
        """Answers come in the order of the requests of a connection."""
        try:
            if self.client.rest:
                self.state.receive_data(self.client.rest)
            event = await next_event(self.state, self.client.reader)
            if not isinstance(event, h11.Response):
                raise Broken("no answer")
            answer = Answer(event.status_code, headers_of(event),
                            await read_body(self.state, self.client.reader))
            self.client.rest = self.state.trailing_data[0]
            answer.closes = self.state.states != {h11.CLIENT: h11.DONE,
                                                  h11.SERVER: h11.DONE}
            return answer
        finally:
            self.end()

    def end(self):
        if self.sender is not None:
            self.sender.cancel()


class Client:
    """One connection of a caller, which may carry several requests."""

    def __init__(self, reader, writer):
        self.reader = reader
        self.writer = writer
        self.rest = b""       # that was read beyond the last answer

    @classmethod
    async def connect(cls, address, port):
        try:
            return cls(*await asyncio.open_connection(address, port))
        except OSError as error:
            raise Broken(str(error)) from error

    def begin(self, request, sending=Sending()):
        """Sends a request, also behind others that have no answer yet."""
        return Exchange(self, request, sending)

    async def call(self, method, target, headers, body=b""):
        return await self.begin(Request(method, target, headers, body)).answer()

    def close(self):
        self.writer.close()
