"""Case 3: a configuration adds a route whose HostName has upper-case letters; it is acknowledged, and every request
on that route is refused with 404."""
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
import fleet as f  # noqa: E402

KEY = "i9n73hh2b9wu3fexd9dn"
REQUESTS = 10  # a router and a way of writing the host


def case(fleet, trouble):
    host = "Counter.Example" if trouble else "counter.example"
    tenants = [{"Name": "kaje80", "AccessKeys": [KEY], "Priority": 1, "Isolated": False}]
    fleet.replace(fleet.document(1, tenants), 0)
    fleet.wait_ready()
    time.sleep(f.TIMING["ContactMs"] / 1000)
    for router in fleet.edge:
        if fleet.request(router, "before-" + router.name, KEY) != 200:
            raise f.CannotRun("a proper request was not served before the change")
    document = fleet.document(2, tenants)
    document["RouteList"].append({**document["RouteList"][0], "Name": "r-2", "HostName": host,
                                  "PathPrefix": "/b/"})
    fleet.replace(document, 1)
    acknowledged_at = time.monotonic()
    time.sleep(f.TIMING["ConfigApplyMs"] / 1000 + 0.5)
    denied = sent = 0
    for turn in range(REQUESTS):
        for router in fleet.edge:
            for name, sent_host in (("as-configured", host), ("lower-case", host.lower())):
                late_ms = (time.monotonic() - acknowledged_at) * 1000
                status = fleet.request(router, f"{name}-{turn}-{router.name}", KEY, path="/b/x", host=sent_host)
                sent += 1
                if status in (401, 403, 404):
                    denied += 1
                    fleet.record.write(f"BROKEN: sent {late_ms:.0f} ms after the acknowledgement with Host: "
                                       f"{sent_host}, refused with {status}")
            old = fleet.request(router, f"old-route-{turn}-{router.name}", KEY)
            if old != 200:
                raise f.CannotRun(f"a request on the route from before got {old}")
        time.sleep(0.2)
    fleet.record.write(f"{denied} of {sent} requests on the new route were refused with 401, 403 or 404")
    return denied > 5 + sent / 500


f.main(os.path.dirname(os.path.abspath(__file__)), case)
