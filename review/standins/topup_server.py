"""A topup node over HTTP, a process of its own. Works for --work seconds on a request, then answers 200 with the id.
Prints a line of JSON for each request that comes whole and for each answer."""
import argparse
import asyncio
import json
import time


def record(**fields):
    print(json.dumps({"t": round(time.time(), 4), **fields}), flush=True)


async def serve(args, reader, writer):
    try:
        while True:
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
            headers = {k.lower(): v.strip() for k, _, v in (x.partition(":") for x in head.split("\r\n")[1:] if x)}
            await reader.readexactly(int(headers.get("content-length", 0)))
            ident = headers.get("x-trace-id")
            record(server=args.name, ran=ident, key=headers.get("idempotency-key"))
            await asyncio.sleep(args.work)
            body = f"{args.name} {ident}".encode()
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
            await writer.drain()
            record(server=args.name, answered=ident)
    except (asyncio.IncompleteReadError, ConnectionError):
        pass
    writer.close()


async def main():
    p = argparse.ArgumentParser()
    p.add_argument("--name", required=True)
    p.add_argument("--work", type=float, default=0.05)
    args = p.parse_args()
    server = await asyncio.start_server(lambda r, w: serve(args, r, w), "127.0.0.1", 0)
    record(server=args.name, port=server.sockets[0].getsockname()[1])
    await server.serve_forever()


asyncio.run(main())
