"""A server for the example of docs/system/operations.md: says what it was asked, and registers itself.

python3 deploy/example/server.py SERVICE ADDRESS:PORT CONTROL
"""

import http.server
import json
import os
import sys
import threading
import time
import urllib.request

service, listen, control = sys.argv[1:4]
instance = f"{service}-{os.getpid()}"
pause_s = 1.0


class Handler(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"

    def answer(self):
        body = self.rfile.read(int(self.headers.get("Content-Length", 0)))
        expected = self.headers.get("X-Dunespur-Expect-Instance")
        if expected not in (None, instance):
            return self.send(421, "text/plain", b"another instance\n")
        if service == "words":
            events = [f"id: {number}\ndata: {word}\n\n" for number, word in enumerate(body.decode().split())]
            return self.send(200, "text/event-stream", "".join(events).encode())
        self.send(200, "text/plain", f"{self.command} {self.path}\n".encode())

    do_GET = do_POST = answer

    def send(self, status, kind, body):
        self.send_response(status)
        self.send_header("Content-Type", kind)
        self.send_header("Content-Length", str(len(body)))
        request = self.headers.get("X-Dunespur-Request-Id")
        if request:
            self.send_header("X-Dunespur-Request-Id", request)
        self.send_header("X-Dunespur-Response-Stamp", f"{instance}.{time.monotonic_ns()}")
        self.send_header("X-Dunespur-Instance-Id", instance)
        self.end_headers()
        self.wfile.write(body)


def beat():
    sequence = 0
    while True:
        sequence += 1
        report = {"backend": service, "address": listen, "zone": "a", "generation": "v1", "slots": 8,
                  "state": "ready", "cold_left_ms": 0, "seq": sequence}
        url = f"http://{control}/api/instances/{instance}/heartbeat"
        call = urllib.request.Request(url, json.dumps(report).encode(), {"Content-Type": "application/json"})
        try:
            urllib.request.urlopen(call, timeout=1).read()
        except OSError as error:
            print(f"heartbeat: {error}", file=sys.stderr)
        time.sleep(pause_s)


threading.Thread(target=beat, daemon=True).start()
host, port = listen.rsplit(":", 1)
http.server.ThreadingHTTPServer((host, int(port)), Handler).serve_forever()
