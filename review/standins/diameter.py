"""Just enough of RFC 6733 and RFC 8506 for the stand-ins: messages, AVPs, and the requests that clients send."""
import struct

CER, DWR, DPR, CCR = 257, 280, 282, 272
SESSION_ID, ORIGIN_HOST, ORIGIN_REALM, DEST_REALM = 263, 264, 296, 283
HOST_IP, VENDOR_ID, PRODUCT, STATE_ID, AUTH_APP, RESULT = 257, 266, 269, 278, 258, 268
CC_NUMBER, CC_TYPE, FAILOVER, FAILURE_HANDLING = 415, 416, 418, 427
CONTEXT, REQUESTED_ACTION, SUBSCRIPTION, SUB_DATA, SUB_TYPE = 461, 436, 443, 444, 450
PROXY_STATE = 33
INITIAL, UPDATE, TERMINATION, EVENT = 1, 2, 3, 4


def avp(code, data, mandatory=True):
    if isinstance(data, int):
        data = struct.pack(">I", data)
    elif isinstance(data, str):
        data = data.encode()
    head = struct.pack(">IB", code, 0x40 if mandatory else 0) + (8 + len(data)).to_bytes(3, "big")
    return head + data + b"\0" * (-len(data) % 4)


def message(command, flags, application, hop, end, avps):
    body = b"".join(avps)
    return (b"\1" + (20 + len(body)).to_bytes(3, "big") + bytes([flags]) + command.to_bytes(3, "big")
            + struct.pack(">III", application, hop, end) + body)


class Message:
    def __init__(self, raw):
        self.flags = raw[4]
        self.command = int.from_bytes(raw[5:8], "big")
        self.application, self.hop, self.end = struct.unpack(">III", raw[8:20])
        self.avps = {}
        at = 20
        while at + 8 <= len(raw):
            code, flags = struct.unpack(">IB", raw[at:at + 5])
            length = int.from_bytes(raw[at + 5:at + 8], "big")
            skip = 12 if flags & 0x80 else 8
            self.avps.setdefault(code, raw[at + skip:at + length])
            at += length + (-length % 4)

    def is_request(self):
        return bool(self.flags & 0x80)

    def text(self, code):
        return self.avps.get(code, b"").decode()

    def number(self, code):
        data = self.avps.get(code)
        return struct.unpack(">I", data)[0] if data is not None and len(data) == 4 else None


async def read(reader):
    head = await reader.readexactly(4)
    return Message(head + await reader.readexactly(int.from_bytes(head[1:4], "big") - 4))


def origin(host):
    return [avp(ORIGIN_HOST, host), avp(ORIGIN_REALM, "example.org")]


def capabilities():
    return [avp(HOST_IP, b"\0\1\x7f\0\0\1"), avp(VENDOR_ID, 0), avp(PRODUCT, "stand-in", False),
            avp(STATE_ID, 1), avp(AUTH_APP, 4)]


def cer(host):
    return message(CER, 0x80, 0, 1, 1, origin(host) + capabilities())


def answer(request, host, result, more=()):
    return message(request.command, request.flags & 0x40, request.application, request.hop, request.end,
                   [avp(SESSION_ID, request.avps[c]) for c in (SESSION_ID,) if c in request.avps]
                   + [avp(RESULT, result)] + origin(host) + list(more))


def credit_request(host, session, kind, number, ident, customer=None, action=None, filler=0, again=False):
    """A Credit-Control-Request. `filler`: bytes of an optional AVP that the gateway has to pass on unchanged."""
    avps = [avp(SESSION_ID, session)] + origin(host) + [
        avp(DEST_REALM, "example.org"), avp(AUTH_APP, 4), avp(CONTEXT, "topup@example.org"),
        avp(CC_TYPE, kind), avp(CC_NUMBER, number)]
    if customer:
        avps.append(avp(SUBSCRIPTION, avp(SUB_TYPE, 0) + avp(SUB_DATA, customer)))
    if action is not None:
        avps.append(avp(REQUESTED_ACTION, action))
    if filler:
        avps.append(avp(PROXY_STATE, b"x" * filler, False))
    return message(CCR, 0xD0 if again else 0xC0, 4, ident, ident, avps)
