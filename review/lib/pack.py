"""A small MessagePack codec: maps, lists, text, numbers, booleans and null."""
import struct


def encode(value):
    out = bytearray()
    _put(out, value)
    return bytes(out)


def _put(out, v):
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
        elif v >= 0:
            if v < 1 << 8:
                out += struct.pack(">BB", 0xCC, v)
            elif v < 1 << 16:
                out += struct.pack(">BH", 0xCD, v)
            elif v < 1 << 32:
                out += struct.pack(">BI", 0xCE, v)
            else:
                out += struct.pack(">BQ", 0xCF, v)
        else:
            out += struct.pack(">Bq", 0xD3, v)
    elif isinstance(v, float):
        out += struct.pack(">Bd", 0xCB, v)
    elif isinstance(v, str):
        b = v.encode()
        n = len(b)
        if n < 32:
            out.append(0xA0 | n)
        elif n < 1 << 8:
            out += struct.pack(">BB", 0xD9, n)
        elif n < 1 << 16:
            out += struct.pack(">BH", 0xDA, n)
        else:
            out += struct.pack(">BI", 0xDB, n)
        out += b
    elif isinstance(v, dict):
        n = len(v)
        out += struct.pack(">B", 0x80 | n) if n < 16 else struct.pack(">BI", 0xDF, n)
        for k, item in v.items():
            _put(out, k)
            _put(out, item)
    elif isinstance(v, (list, tuple)):
        n = len(v)
        out += struct.pack(">B", 0x90 | n) if n < 16 else struct.pack(">BI", 0xDD, n)
        for item in v:
            _put(out, item)
    else:
        raise TypeError(type(v))


def decode(data):
    value, end = _get(data, 0)
    if end != len(data):
        raise ValueError("trailing bytes")
    return value


_FIXED = {0xCA: ">f", 0xCB: ">d", 0xCC: ">B", 0xCD: ">H", 0xCE: ">I", 0xCF: ">Q",
          0xD0: ">b", 0xD1: ">h", 0xD2: ">i", 0xD3: ">q"}
_TEXT = {0xD9: ">B", 0xDA: ">H", 0xDB: ">I"}
_LIST = {0xDC: ">H", 0xDD: ">I"}
_MAP = {0xDE: ">H", 0xDF: ">I"}


def _num(fmt, d, at):
    n = struct.calcsize(fmt)
    return struct.unpack_from(fmt, d, at)[0], at + n


def _get(d, at):
    c = d[at]
    at += 1
    if c < 0x80:
        return c, at
    if c >= 0xE0:
        return c - 256, at
    if 0xA0 <= c < 0xC0:
        n = c & 31
        return d[at:at + n].decode(), at + n
    if 0x80 <= c < 0x90:
        return _map(d, at, c & 15)
    if 0x90 <= c < 0xA0:
        return _list(d, at, c & 15)
    if c == 0xC0:
        return None, at
    if c in (0xC2, 0xC3):
        return c == 0xC3, at
    if c in _FIXED:
        return _num(_FIXED[c], d, at)
    if c in _TEXT:
        n, at = _num(_TEXT[c], d, at)
        return d[at:at + n].decode(), at + n
    if c in _LIST:
        n, at = _num(_LIST[c], d, at)
        return _list(d, at, n)
    if c in _MAP:
        n, at = _num(_MAP[c], d, at)
        return _map(d, at, n)
    raise ValueError("not supported: %x" % c)


def _list(d, at, n):
    out = []
    for _ in range(n):
        v, at = _get(d, at)
        out.append(v)
    return out, at


def _map(d, at, n):
    out = {}
    for _ in range(n):
        k, at = _get(d, at)
        out[k], at = _get(d, at)
    return out, at
