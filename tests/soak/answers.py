"""Answers as an endpoint in trouble sends them, and unusual ones that are sound."""
import asyncio
import dataclasses
import socket
import struct

PART = 0.4            # of a body that leaves before the connection is reset
RESET_S = 0.002       # from there to the reset
LINGER_S = 2.0        # for which the rest of a request is read at most
BLOCK = 65536


@dataclasses.dataclass
class RawAnswer:
    """Bytes that take the place of an answer."""
    data: bytes
    ending: str = "keep"      # keep, close, reset, or linger: ends the sending
    early: bool = False       # sent before the request's body is read


def reset(writer):
    """Resets a connection, whatever it has not read."""
    raw = writer.get_extra_info("socket")
    if raw is not None and raw.fileno() >= 0:
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                       struct.pack("ii", 1, 0))
    writer.transport.abort()


async def send(answer, reader, writer):
    """@return True if the connection stays."""
    writer.write(answer.data)
    if answer.ending == "reset":
        await asyncio.sleep(RESET_S)
        reset(writer)
    elif answer.ending == "linger":
        writer.write_eof()
        try:
            while await asyncio.wait_for(reader.read(BLOCK), LINGER_S):
                pass
        except (OSError, asyncio.TimeoutError):
            pass
    return answer.ending == "keep"


def head(line, fields):
    text = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
    return (f"{line}\r\n{text}").encode("latin-1")


OK = "HTTP/1.1 200 OK"


def framed(fields, body, line=OK, extra=b""):
    return RawAnswer(head(line, fields) + extra +
                     f"Content-Length: {len(body)}\r\n\r\n".encode() + body)


def unframed(fields, body, extra=b"", line=OK, **rest):
    return RawAnswer(head(line, fields) + extra + b"\r\n" + body, **rest)


def chunks(body):
    return f"{len(body):x}\r\n".encode() + body + b"\r\n0\r\n\r\n"


# Each makes an answer from the fields and the body of a sound one.

EARLY = {
    "early, reset": lambda fields, body: unframed(
        fields, body[:int(len(body) * PART)], ending="reset", early=True),
}

BROKEN_STATUS = {
    f"status {line}": lambda fields, body, line=line: framed(fields, body, line)
    for line in ("HTTP/1.1 000 OK", "HTTP/1.1 001 OK", "HTTP/1.1 099 OK",
                 "HTTP/1.1 600 OK", "HTTP/1.1 2x0 OK", "HTTP/1.1 2000 OK",
                 "HTTP/1.1 20 OK", "HTTP/1.1 -20 OK", "HTTP/1.1  OK",
                 "HTTP/2.0 200 OK", "HTTP/0.9 200 OK", "HTTP/1.1x 200 OK")}

BROKEN_FIELD = {
    f"field {line!r}": lambda fields, body, line=line: framed(
        fields, body, extra=line + b"\r\n")
    for line in (b"X Trouble: 1", b"X-Trouble : 1", b"X-Trouble\t: 1",
                 b"X-Tro\tuble: 1", b"X-Tro\x00uble: 1", b"X-Tro\x01uble: 1",
                 b"X-Tro\x7fuble: 1", b"\x1fX-Trouble: 1", b" X-Trouble: 1",
                 b": 1", b"X-Trouble", b"X-Tro\ruble: 1", b"X-Tro\nuble: 1",
                 b"X-Tro\xe9uble: 1", b"X-Trouble: a\x00b",
                 b"X-Trouble: a\x01b", b"X-Trouble: a\nX-More: b")}

HIDDEN_FRAMING = {
    "length with a blank": lambda fields, body: unframed(
        fields, body + b"more", b"Content-Length : %d\r\n" % len(body),
        ending="close"),
    "chunks with a blank": lambda fields, body: unframed(
        fields, chunks(body), b"Transfer-Encoding : chunked\r\n",
        ending="close"),
    "chunks with a control byte": lambda fields, body: unframed(
        fields, chunks(body), b"Transfer-Encoding\x01: chunked\r\n",
        ending="close"),
    "trailer with a blank": lambda fields, body: unframed(
        fields, chunks(body)[:-2] + b"X Trouble: 1\r\n\r\n",
        b"Transfer-Encoding: chunked\r\n"),
}

BROKEN_FRAMING = {
    "two lengths": lambda fields, body: framed(
        fields, body, extra=b"Content-Length: %d\r\n" % (len(body) + 1)),
    "length and chunks": lambda fields, body: unframed(
        fields, chunks(body), b"Content-Length: %d\r\n"
        b"Transfer-Encoding: chunked\r\n" % len(body)),
    "chunks and length": lambda fields, body: unframed(
        fields, chunks(body), b"Transfer-Encoding: chunked\r\n"
        b"Content-Length: %d\r\n" % len(body)),
    "unknown coding": lambda fields, body: unframed(
        fields, body, b"Transfer-Encoding: gzip\r\n", ending="close"),
    "unknown coding in chunks": lambda fields, body: unframed(
        fields, chunks(body), b"Transfer-Encoding: gzip, chunked\r\n"),
    "chunks twice": lambda fields, body: unframed(
        fields, chunks(body), b"Transfer-Encoding: chunked, chunked\r\n",
        ending="close"),
}

BROKEN = {**BROKEN_STATUS, **BROKEN_FIELD, **HIDDEN_FRAMING, **BROKEN_FRAMING}

CHUNKED = b"Transfer-Encoding: chunked\r\n"


def part(data):
    return data[:int(len(data) * PART)]


# Sent after the whole request was read; not among BROKEN, as soaks draw from it.
BROKEN_OFF = {
    "no length": lambda fields, body: unframed(
        fields, part(body), ending="reset"),
    "no length, HTTP/1.0": lambda fields, body: unframed(
        fields, part(body), line="HTTP/1.0 200 OK", ending="reset"),
    "length": lambda fields, body: unframed(
        fields, part(body), b"Content-Length: %d\r\n" % len(body),
        ending="reset"),
    "chunks": lambda fields, body: unframed(
        fields, part(chunks(body)), CHUNKED, ending="reset"),
    "chunks without the last": lambda fields, body: unframed(
        fields, chunks(body)[:-len(b"0\r\n\r\n")], CHUNKED, ending="reset"),
    "no body": lambda fields, body: unframed(fields, b"", ending="reset"),
    "no end of the head": lambda fields, body: RawAnswer(
        head(OK, fields), ending="reset"),
    "nothing": lambda fields, body: RawAnswer(b"", ending="reset"),
}

SOUND = {
    "no length": lambda fields, body: unframed(fields, body, ending="close"),
    "no length, HTTP/1.0": lambda fields, body: unframed(
        fields, body, line="HTTP/1.0 200 OK", ending="close"),
    "chunks": lambda fields, body: unframed(fields, chunks(body), CHUNKED),
    "empty elements of a list": lambda fields, body: unframed(
        fields, chunks(body), b"Transfer-Encoding: , chunked,\r\n"),
    "no reason": lambda fields, body: framed(fields, body, "HTTP/1.1 200 "),
    "odd reason": lambda fields, body: framed(
        fields, body, "HTTP/1.1 200 O:K\t\xe9!"),
    "status 299": lambda fields, body: framed(fields, body, "HTTP/1.1 299 OK"),
    "odd names": lambda fields, body: framed(
        fields, body, extra=b"!#$%&'*+-.^_`|~9: 1\r\n7: 1\r\nx_y.z: 1\r\n"),
    "odd values": lambda fields, body: framed(
        fields, body, extra=b"X-A:\r\nX-B:\t b \xe9:\tc \t\r\n"),
    "same length twice": lambda fields, body: framed(
        fields, body, extra=b"Content-Length: %d\r\n" % len(body)),
    "interim answers": lambda fields, body: RawAnswer(
        b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\n"
        b"Link: x\r\n\r\n" + framed(fields, body).data),
}

# Those with the status that the endpoints of a soak give.
USUAL_STATUS = {name: maker for name, maker in SOUND.items()
                if name != "status 299"}

SOUND_EARLY = {
    "early, with a length": lambda fields, body: dataclasses.replace(
        framed(fields, body), early=True, ending="linger"),
    "early, in chunks": lambda fields, body: unframed(
        fields, chunks(body), CHUNKED, early=True, ending="linger"),
    "early, no length": lambda fields, body: unframed(
        fields, body, early=True, ending="linger"),
}
