"""A Diameter client of a gateway: one connection, its requests and their answers."""
import asyncio
import itertools

import diameter as d


class Client:
    ids = itertools.count(1000)

    def __init__(self, host):
        self.host = host
        self.waiting = {}

    async def connect(self, port):
        self.reader, self.writer = await asyncio.wait_for(asyncio.open_connection("127.0.0.1", port), 5)
        self.task = asyncio.ensure_future(self.receive())
        answer = self.expect("cea")
        self.writer.write(d.cer(self.host))
        await asyncio.wait_for(answer, 5)
        return self

    def expect(self, key):
        self.waiting[key] = asyncio.get_running_loop().create_future()
        return self.waiting[key]

    async def receive(self):
        try:
            while True:
                m = await d.read(self.reader)
                if m.is_request():
                    self.writer.write(d.answer(m, self.host, 2001))
                elif m.command == d.CER:
                    self.waiting.pop("cea").set_result(m)
                elif m.command == d.CCR and m.hop in self.waiting:
                    self.waiting.pop(m.hop).set_result(m)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        for future in self.waiting.values():
            if not future.done():
                future.set_result(None)

    def send(self, *request, ident=None, **more):
        """Sends a Credit-Control-Request; the future has the answer, or None if the connection ends first."""
        ident = ident or next(self.ids)
        answer = self.expect(ident)
        self.writer.write(d.credit_request(self.host, *request, ident, **more))
        return answer

    def close(self):
        self.task.cancel()
        self.writer.transport.abort()
