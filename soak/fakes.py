"""In-process stand-ins of the fault soak for the platform's store and the TCP links
between gateways. The soak injects their faults."""
import asyncio
import base64
import json
import time
import urllib.parse


def now_ms():
    return int(time.monotonic() * 1000)


class Store:
    """Store of the platform: tables with one version counter. Each gateway calls it at a
    port of its own and reads the addresses of its own links to the upstreams. mode is one
    of: up, refuse (status 503), silent (no response), slow (delays each response)."""

    def __init__(self, rewrite_peer_address):
        self.rows = {}
        self.version = 1
        self.changes = []
        self.mode = "up"
        self.calls = 0
        self.rewrite_peer_address = rewrite_peer_address

    def answers(self):
        return self.mode in ("up", "slow")

    def put(self, table, key, value):
        self.version += 1
        row = {"table": table, "part": "", "key": key, "value": value,
               "ver": self.version}
        self.rows[(table, key)] = row
        self.changes.append((self.version, table, row))

    def put_if_changed(self, table, key, value):
        row = self.rows.get((table, key))
        if row is None or row["value"] != value:
            self.put(table, key, value)

    def remove(self, table, key):
        if self.rows.pop((table, key), None):
            self.version += 1
            row = {"table": table, "part": "", "key": key, "ver": self.version,
                   "removed": True}
            self.changes.append((self.version, table, row))

    def encode(self, row, gateway):
        if "value" not in row:
            return row
        value = row["value"]
        if row["table"] == "servers":
            host, port = value["address"].split(":")
            value = {**value, "address": f"{host}:{int(port) + gateway}"}
        return {**row, "value": base64.b64encode(json.dumps(value).encode()).decode()}

    def rows_response(self, rows, gateway):
        return 200, {"rows": [self.encode(row, gateway) for row in rows],
                     "has-more": False, "ver": self.version, "now-ms": now_ms()}

    def transact(self, body):
        transaction = json.loads(body)
        for row in transaction["puts"]:
            value = json.loads(base64.b64decode(row["value"]))
            if "peer_address" in value:
                value["peer_address"] = self.rewrite_peer_address(
                    row["key"], value["peer_address"])
            self.put(row["table"], row["key"], value)
        for row in transaction["remove"]:
            self.remove(row["table"], row["key"])
        return self.rows_response([], 0)

    # Long poll: returns the changes of a table after a version.
    async def watch(self, query, gateway):
        after, table = int(query["after"][0]), query["table"][0]
        limit = time.monotonic() + int(query["wait-ms"][0]) / 1000
        while True:
            rows = [row for version, name, row in self.changes
                    if version > after and name == table]
            if rows or time.monotonic() >= limit:
                return self.rows_response(rows, gateway)
            await asyncio.sleep(0.02)

    async def handle(self, gateway, method, target, headers, body):
        self.calls += 1
        if self.mode == "silent":
            await asyncio.sleep(30)
            return None
        if self.mode == "refuse":
            return 503, {}
        if self.mode == "slow":
            await asyncio.sleep(0.3)
        url = urllib.parse.urlparse(target)
        query = urllib.parse.parse_qs(url.query, keep_blank_values=True)
        if url.path == "/cassiahub/rows-tx":
            return self.transact(body)
        if url.path == "/cassiahub/rows-feed":
            return await self.watch(query, gateway)
        rows = [row for (table, _), row in sorted(self.rows.items())
                if table == query["table"][0]]
        return self.rows_response(rows, gateway)


class Relay:
    """TCP relay of a gateway's peer port. mode is one of: open, silent (forwards nothing),
    slow (delays each chunk), reset (resets connections), one_way (forwards nothing to the
    caller)."""

    def __init__(self, target_port):
        self.target_port, self.mode, self.server = target_port, "open", None
        self.writers = set()

    async def start(self, port):
        self.server = await asyncio.start_server(self.connect, "127.0.0.1", port)

    def set_mode(self, mode):
        self.mode = mode
        if mode == "reset":
            for writer in list(self.writers):
                writer.transport.abort()

    async def forward(self, reader, writer, to_caller):
        try:
            while data := await reader.read(65536):
                while self.mode == "silent" or (self.mode == "one_way" and to_caller):
                    await asyncio.sleep(0.05)
                if self.mode == "slow":
                    await asyncio.sleep(0.05)
                writer.write(data)
                await writer.drain()
        except ConnectionError:
            pass  # each direction closes its own writer below
        finally:
            writer.close()

    async def connect(self, reader, writer):
        if self.mode == "reset":
            writer.transport.abort()
            return
        try:
            target_reader, target_writer = await asyncio.open_connection(
                "127.0.0.1", self.target_port)
        except OSError:
            writer.transport.abort()
            return
        self.writers |= {writer, target_writer}
        await asyncio.gather(self.forward(reader, target_writer, False),
                             self.forward(target_reader, writer, True))
        self.writers -= {writer, target_writer}
