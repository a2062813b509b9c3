"""Writes seeds that are too large to keep in the repository.

usage: tests/fuzz/make_seeds.py FOLDER

FOLDER gets a folder for each fuzz target, with inputs that are deeply nested, long, truncated, or
declare more than they hold. Up to about a megabyte each, like the items of the store.
"""

import base64
import pathlib
import struct
import sys

SEEDS = pathlib.Path(__file__).resolve().parent / "seeds"
ROOT = SEEDS.parent.parent.parent
LEVELS = 250_000
LONG = 900_000
UDP_BYTES = 65_507
FRAME_TYPES = 21
PEER_FORMAT_VERSION = 4


def truncated(inputs, parts=4):
    """Returns prefixes of the inputs: all of short ones, a few of long ones."""
    prefixes = {}
    for name, data in inputs.items():
        lengths = range(len(data)) if len(data) < 64 else [
            len(data) * part // parts for part in range(1, parts)] + [len(data) - 1]
        prefixes.update({f"truncated-{name}-{length}": data[:length] for length in lengths})
    return prefixes


def checked_in(folder):
    return {path.name: path.read_bytes() for path in sorted(folder.iterdir()) if path.is_file()}


def json_texts():
    nested = b"[" * LEVELS + b"]" * LEVELS
    tables = b'{"a":' * LEVELS + b"1" + b"}" * LEVELS
    mixed = b'{"a":[' * LEVELS + b"]}" * LEVELS
    return {
        "deep-lists": nested,
        "deep-tables": tables,
        "deep-mixed": mixed,
        "deep-in-field": b'{"service":' + nested + b"}",
        "deep-unclosed": b"[" * LONG,
        "long-list": b"[0" + b",0" * (LONG // 2) + b"]",
        "long-table": b'{"a":0' + b',"":0' * (LONG // 5) + b"}",
        "long-string": b'{"service":"' + b"x" * LONG + b'"}',
        "long-name": b'{"' + b"x" * LONG + b'":1}',
        "long-number": b'{"capacity":' + b"9" * LONG + b"}",
        "truncated-string": b'{"service":"' + b"x" * LONG,
    }


def msgpack_documents():
    return {
        "deep-lists": b"\x91" * LONG + b"\x90",
        "deep-tables": b"\x81\xa1a" * LEVELS + b"\x80",
        "deep-keys": b"\x81" * LONG,
        "long-list": b"\xdd" + struct.pack(">I", LONG) + b"\x01" * LONG,
        "long-table": b"\xdf" + struct.pack(">I", LONG // 2) + b"\xa0" * LONG,
        "long-string": b"\x81\xa7service\xdb" + struct.pack(">I", LONG) + b"x" * LONG,
        "declared-lists": b"\xdd\x00\x0d\xbb\xa0" * 16 + b"\x01" * LONG,
        "declared-tables": b"\xdf\x00\x06\xdd\xd0" * 16 + b"\x01" * LONG,
        "declared-most": b"\xdf\xff\xff\xff\xff" * (LONG // 5),
        "declared-string": b"\xdb\xff\xff\xff\xff",
        "truncated-list": b"\xdd" + struct.pack(">I", LONG) + b"\x01" * (LONG // 2),
    }


def store_responses():
    def listing(key, value):
        return (b'{"at":9,"items":[{"key":"' + key + b'","revision":1,"value":"' +
                base64.b64encode(value) + b'"}]}')

    responses = {f"item-{name}": listing(b"servers/i-1", text)
                 for name, text in {**json_texts(), **msgpack_documents()}.items()}
    responses["item-long-key"] = listing(b"servers/" + b"1" * LONG, b"{}")
    responses["item-bad-base64"] = listing(b"servers/i-1", b"")[:-5] + b"?" * LONG + b'"}]}'
    item = b'{"key":"servers/i-1","revision":1,"gone":true}'
    responses["long-listing"] = (b'{"at":9,"items":[' + b",".join([item] * (LONG // len(item))) +
                                 b"]}")
    return {**responses, **json_texts(), **msgpack_documents(),
            **truncated(checked_in(SEEDS / "fuzz_store_items"), 16)}


def toml_files():
    key = b"a." * (LEVELS // 2) + b"a"
    settings = (ROOT / "scenarios" / "cascadia.toml").read_bytes()
    return {
        "deep-header": b"[" + key + b"]\nb = 1\n",
        "deep-tables": b"[[" + key + b"]]\n",
        "deep-key": key + b" = 1\n",
        "deep-inline": b"b = { " + key + b" = 1 }\n",
        "deep-lists": b"a = " + b"[" * LEVELS + b"]" * LEVELS,
        "deep-inline-tables": b"a = " + b"{a=" * LEVELS + b"1" + b"}" * LEVELS,
        "long-string": b'[daemon]\nname = "' + b"x" * LONG + b'"\n',
        "long-key": b"x" * LONG + b" = 1\n",
        "long-list": b"a = [0" + b",0" * (LONG // 2) + b"]\n",
        "long-lines": b"\n" * LONG,
        **truncated({"scenario": settings}, 16),
    }


def policies():
    files = checked_in(ROOT / "docs" / "policies")
    return {
        "deep-parentheses": b"x = " + b"(" * LEVELS + b"1" + b")" * LEVELS,
        "deep-tables": b"x = " + b"{" * LEVELS + b"}" * LEVELS,
        "deep-functions": b"x = " + b"function() return " * (LEVELS // 10),
        "deep-operators": b"x = " + b"not " * LEVELS + b"1",
        "long-string": b'x = "' + b"y" * LONG + b'"',
        "long-unclosed": b"x = [[" + b"y" * LONG,
        "long-statements": b"x = 1\n" * (LONG // 6),
        "long-error": b'error("' + b"y" * LONG + b'")',
        **truncated({name: data for name, data in files.items() if name.endswith(".lua")}, 16),
    }


def peer_messages():
    def envelope(frame_type, body):
        return (b"\x95" + bytes([PEER_FORMAT_VERSION]) + b"\xa4fuzz\x02" + bytes([frame_type]) +
                body)

    inputs = {"deep": envelope(4, b"\x91" * LONG + b"\x90"),
              "declared": envelope(11, b"\x99" + b"\xdd\x00\x0d\xbb\xa0" * 9 + b"\xc0" * LONG),
              **msgpack_documents(), **truncated(checked_in(SEEDS / "fuzz_peer"), 8)}
    long_list = b"\xdd" + struct.pack(">I", LONG // 4) + b"\xc0" * (LONG // 4)
    for frame_type in range(FRAME_TYPES):
        inputs[f"long-lists-{frame_type}"] = envelope(frame_type, b"\x91" + long_list)
    return inputs


def packets(target, repeated):
    seeds = checked_in(SEEDS / target)
    inputs = truncated(seeds)
    for name, data in seeds.items():
        inputs[f"long-{name}"] = data + b"\x00" * (UDP_BYTES - len(data))
        inputs[f"repeated-{name}"] = data + repeated * ((UDP_BYTES - len(data)) // len(repeated))
    return inputs


def texts():
    return {"long": b"x" * LONG, "long-invalid": b"\xff" * LONG, "long-control": b"\n" * LONG,
            "long-address": b"[" + b"1:" * (LONG // 2) + b"]:80", "long-port": b"1.2.3.4:" +
            b"9" * LONG, "truncated-utf8": b"a\xf0\x9f\x9b", "surrogate": b"\xed\xa0\x80",
            "escapes": bytes(range(256))}


def http_requests():
    request = b"GET /metrics HTTP/1.1\r\nHost: a\r\n\r\n"
    return {
        "valid": request, "several": request * 100,
        "long-target": b"GET /" + b"x" * LONG + b" HTTP/1.1\r\n\r\n",
        "long-header": b"GET / HTTP/1.1\r\nA: " + b"x" * LONG + b"\r\n\r\n",
        "long-headers": b"GET / HTTP/1.1\r\n" + b"A: b\r\n" * (LONG // 6) + b"\r\n",
        "long-body": b"POST / HTTP/1.1\r\nContent-Length: 900000\r\n\r\n" + b"x" * LONG,
        "long-chunks": b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n" +
                       b"1\r\nx\r\n" * (LONG // 6),
        "declared-chunk": b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nffffffffffffffff",
        **truncated({"request": request}),
    }


def http_responses():
    head = b"HTTP/1.1 200 OK\r\nStore-Era: 1\r\n"
    response = head + b"Content-Length: 2\r\n\r\n{}"
    return {
        "valid": response,
        "long-header": head + b"A: " + b"x" * LONG + b"\r\n\r\n",
        "long-headers": head + b"A: b\r\n" * (LONG // 6) + b"\r\n",
        "long-body": head + b"Content-Length: 900000\r\n\r\n" + b"x" * LONG,
        "long-chunks": head + b"Transfer-Encoding: chunked\r\n\r\n" + b"1\r\nx\r\n" * (LONG // 6),
        "long-without-length": head + b"\r\n" + b"x" * LONG,
        "declared-length": head + b"Content-Length: 18446744073709551615\r\n\r\nx",
        "declared-chunk": head + b"Transfer-Encoding: chunked\r\n\r\nffffffffffffffff\r\nx",
        **truncated({"response": response}),
    }


def configurations():
    nested = b"[" * LEVELS + b"]" * LEVELS
    return {
        "deep-service": b'{"version":1,"services":[{"name":"desk","address":' + nested + b"}]}",
        "deep-backends": b'{"version":1,"services":[{"name":"desk","backends":[' + nested + b"]}]}",
        "long-services": b'{"version":1,"services":[' + b'{"name":"a"},' * (LONG // 13) + b"{}]}",
        **json_texts(), **truncated(checked_in(SEEDS / "fuzz_configuration"), 16),
    }


def history_lines():
    nested = b"[" * LEVELS + b"]" * LEVELS
    return {"deep-line": b'{"t":1,"kind":"fault","detail":' + nested + b"}",
            "long-line": b'{"t":1,"kind":"' + b"x" * LONG + b'"}'}


def all_seeds():
    return {
        "fuzz_coap": packets("fuzz_coap", b"\x10"),
        "fuzz_configuration": configurations(),
        "fuzz_geneve": packets("fuzz_geneve", b"\x00\x00\x00\x00"),
        "fuzz_http_request": http_requests(),
        "fuzz_http_response": http_responses(),
        "fuzz_json": json_texts(),
        "fuzz_msgpack": msgpack_documents(),
        "fuzz_packet_head": packets("fuzz_packet_head", b"\xff"),
        "fuzz_pages": configurations(),
        "fuzz_peer": peer_messages(),
        "fuzz_policy": policies(),
        "fuzz_scenario": {**toml_files(), **history_lines()},
        "fuzz_settings": toml_files(),
        "fuzz_store_entry": {**json_texts(), **msgpack_documents()},
        "fuzz_store_items": store_responses(),
        "fuzz_text": texts(),
    }


def main():
    if len(sys.argv) != 2:
        sys.exit(__doc__)
    for target, inputs in all_seeds().items():
        folder = pathlib.Path(sys.argv[1]) / target
        folder.mkdir(parents=True, exist_ok=True)
        for name, data in inputs.items():
            (folder / name).write_bytes(data)


if __name__ == "__main__":
    main()
