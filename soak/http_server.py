"""Minimal HTTP/1.1 server and client over asyncio for the fault soak."""
import asyncio
import json


async def read_message(reader):
    """Returns (first line, headers, body), or None if the connection ends before the
    headers are complete."""
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    headers = {}
    for line in head[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.lower()] = value.strip()
    length = int(headers.get("content-length", 0))
    body = await reader.readexactly(length) if length else b""
    return head[0], headers, body


async def serve(port, accept):
    """Starts a server. accept(writer) returns the handler of a connection, or None to
    refuse it. handler(method, target, headers, body) returns (status, object), or None to
    close the connection without a response."""

    async def on_connection(reader, writer):
        handler = accept(writer)
        if handler is None:
            return
        try:
            while (message := await read_message(reader)) is not None:
                method, target, _ = message[0].split(" ", 2)
                response = await handler(method, target, message[1], message[2])
                if response is None:
                    break
                text = json.dumps(response[1]).encode()
                writer.write(b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
                             b"Content-Length: %d\r\n\r\n" % (response[0], len(text))
                             + text)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, ValueError,
                asyncio.CancelledError):
            pass  # a killed gateway, a truncated message or the end of the soak
        finally:
            writer.close()

    return await asyncio.start_server(on_connection, "127.0.0.1", port)


async def request(port, method, target, headers, body=b"", timeout=5.0):
    """Returns (status, body), with status 0 if there was no complete response."""

    async def exchange():
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        try:
            lines = [f"{method} {target} HTTP/1.1", f"Content-Length: {len(body)}"]
            lines += [f"{name}: {value}" for name, value in headers.items()]
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
            message = await read_message(reader)
            return (int(message[0].split(" ")[1]), message[2]) if message else (0, b"")
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(exchange(), timeout)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
        return 0, b""
