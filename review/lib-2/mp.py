"""A small MessagePack codec: maps keyed by text, lists, text, numbers, booleans and null."""

import struct


def pack(value):
    out = bytearray()
    _pack(value, out)
    return bytes(out)


def _pack(v, out):
    if v is None:
        out.append(0xC0)
    elif v is True:
        out.append(0xC3)
    elif v is False:
        out.append(0xC2)
    elif isinstance(v, int):
        if 0 <= v < 128:
            out.append(v)
        elif -32 <= v < 0:
            out.append(v & 0xFF)
        elif v < 0:
            out += b"\xd3" + struct.pack(">q", v)
        elif v < 1 << 16:
            out += b"\xcd" + struct.pack(">H", v)
        elif v < 1 << 32:
            out += b"\xce" + struct.pack(">I", v)
        else:
            out += b"\xcf" + struct.pack(">Q", v)
    elif isinstance(v, float):
        out += b"\xcb" + struct.pack(">d", v)
    elif isinstance(v, str):
        b = v.encode()
        n = len(b)
        if n < 32:
            out.append(0xA0 | n)
        elif n < 256:
            out += bytes((0xD9, n))
        elif n < 1 << 16:
            out += b"\xda" + struct.pack(">H", n)
        else:
            out += b"\xdb" + struct.pack(">I", n)
        out += b
    elif isinstance(v, (list, tuple)):
        n = len(v)
        if n < 16:
            out.append(0x90 | n)
        elif n < 1 << 16:
            out += b"\xdc" + struct.pack(">H", n)
        else:
            out += b"\xdd" + struct.pack(">I", n)
        for item in v:
            _pack(item, out)
    elif isinstance(v, dict):
        n = len(v)
        if n < 16:
            out.append(0x80 | n)
        elif n < 1 << 16:
            out += b"\xde" + struct.pack(">H", n)
        else:
            out += b"\xdf" + struct.pack(">I", n)
        for key, item in v.items():
            _pack(key, out)
            _pack(item, out)
    else:
        raise TypeError(type(v))


def unpack(data):
    value, at = _unpack(data, 0)
    if at != len(data):
        raise ValueError("trailing bytes")
    return value


def _list(data, at, n):
    items = []
    for _ in range(n):
        item, at = _unpack(data, at)
        items.append(item)
    return items, at


def _map(data, at, n):
    items = {}
    for _ in range(n):
        key, at = _unpack(data, at)
        items[key], at = _unpack(data, at)
    return items, at


_FIXED = {
    0xCA: (">f", 4), 0xCB: (">d", 8), 0xCC: (">B", 1), 0xCD: (">H", 2), 0xCE: (">I", 4), 0xCF: (">Q", 8),
    0xD0: (">b", 1), 0xD1: (">h", 2), 0xD2: (">i", 4), 0xD3: (">q", 8),
}


def _unpack(d, at):
    c = d[at]
    at += 1
    if c < 0x80:
        return c, at
    if c < 0x90:
        return _map(d, at, c & 15)
    if c < 0xA0:
        return _list(d, at, c & 15)
    if c < 0xC0:
        n = c & 31
        return d[at:at + n].decode(), at + n
    if c == 0xC0:
        return None, at
    if c in (0xC2, 0xC3):
        return c == 0xC3, at
    if c in _FIXED:
        form, n = _FIXED[c]
        return struct.unpack_from(form, d, at)[0], at + n
    if c in (0xD9, 0xDA, 0xDB):
        size = 1 << (c - 0xD9)
        n = int.from_bytes(d[at:at + size], "big")
        at += size
        return d[at:at + n].decode(), at + n
    if c in (0xDC, 0xDD):
        size = 2 << (c - 0xDC)
        return _list(d, at + size, int.from_bytes(d[at:at + size], "big"))
    if c in (0xDE, 0xDF):
        size = 2 << (c - 0xDE)
        return _map(d, at + size, int.from_bytes(d[at:at + size], "big"))
    if c >= 0xE0:
        return c - 256, at
    raise ValueError("byte %#x" % c)
