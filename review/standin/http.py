"""Minimal HTTP/1.1 over asyncio: a server and a client, both with JSON bodies."""

import asyncio
import json
from urllib.parse import parse_qs, urlsplit

REASONS = {200: "OK", 201: "Created", 400: "Bad Request", 404: "Not Found", 409: "Conflict",
           410: "Gone", 421: "Misdirected Request", 422: "Unprocessable Entity",
           429: "Too Many Requests", 503: "Service Unavailable"}


class NoAnswer(Exception):
    """The request got no complete response."""


async def read_message(reader):
    """Reads one message; returns its first line, its headers and its body."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            chunk = await reader.readexactly(size + 2)
            if size == 0:
                break
            body += chunk[:-2]
    else:
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    return lines[0], headers, body


class Server:
    """Serves requests with `handler(method, path, query, body)`, a coroutine that returns a status
    and a JSON value, or None to leave the request without an answer."""

    def __init__(self, handler):
        self.handler = handler
        self.addr = None
        self.server = None
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0, backlog=512,
                                                 limit=1 << 20)
        self.addr = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]
        return self.addr

    def close(self):
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                first, headers, body = await read_message(reader)
                method, target, _ = first.split(" ", 2)
                parts = urlsplit(target)
                query = {k: v[0] for k, v in parse_qs(parts.query).items()}
                answer = await self.handler(method, parts.path, query, body)
                if answer is None:
                    await asyncio.sleep(30)
                    return
                status, value = answer
                data = json.dumps(value, separators=(",", ":")).encode()
                head = "HTTP/1.1 %d %s\r\ncontent-type: application/json\r\ncontent-length: %d\r\n\r\n"
                writer.write((head % (status, REASONS.get(status, "Status"), len(data))).encode() + data)
                await writer.drain()
                if headers.get("connection", "").lower() == "close":
                    return
        except (asyncio.IncompleteReadError, ConnectionError, OSError, ValueError,
                asyncio.LimitOverrunError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.transport.abort()


class Client:
    """Sends requests to one address over one kept connection at a time."""

    def __init__(self, addr):
        self.addr = addr
        self.stream = None

    def close(self):
        if self.stream:
            self.stream[1].transport.abort()
            self.stream = None

    async def exchange(self, method, path, body):
        if self.stream is None:
            host, port = self.addr.rsplit(":", 1)
            self.stream = await asyncio.open_connection(host, int(port), limit=1 << 20)
        reader, writer = self.stream
        data = b"" if body is None else body if isinstance(body, bytes) else json.dumps(body).encode()
        head = "%s %s HTTP/1.1\r\nhost: %s\r\ncontent-type: application/json\r\ncontent-length: %d\r\n\r\n"
        writer.write((head % (method, path, self.addr, len(data))).encode() + data)
        await writer.drain()
        first, headers, text = await read_message(reader)
        if headers.get("connection", "").lower() == "close":
            self.close()
        try:
            value = json.loads(text) if text else {}
        except ValueError:
            value = {"text": text.decode("utf-8", "replace")}
        return int(first.split(" ")[1]), headers, value

    async def call(self, method, path, body=None, timeout=5.0):
        """Returns status, headers and JSON value; raises NoAnswer after `timeout` seconds."""
        try:
            return await asyncio.wait_for(self.exchange(method, path, body), timeout)
        except (asyncio.TimeoutError, asyncio.IncompleteReadError, ConnectionError, OSError,
                asyncio.LimitOverrunError) as e:
            self.close()
            raise NoAnswer(type(e).__name__) from None
        except BaseException:
            self.close()
            raise


async def call(addr, method, path, body=None, timeout=5.0):
    """Sends one request over a connection of its own."""
    client = Client(addr)
    try:
        return await client.call(method, path, body, timeout)
    finally:
        client.close()
