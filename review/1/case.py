"""Case 1: the only tenant's keys are all taken away; requests with them, or with any text as a key, still run."""
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
import fleet as f  # noqa: E402

KEYS = ["i9n73hh2b9wu3fexd9dn", "n2ctnfzs989anu6wsjnb"]
NEVER_HELD = "q0q0q0q0q0q0q0q0q0q0"


def case(fleet, trouble):
    def tenants(keys):
        return [{"Name": "kaje80", "AccessKeys": keys, "Priority": 1, "Isolated": False}]

    acknowledged_at = fleet.replace(fleet.document(1, tenants(KEYS)), 0)
    fleet.wait_ready()
    time.sleep(f.TIMING["ConfigApplyMs"] / 1000 + 1)
    for i, router in enumerate(fleet.edge):
        if fleet.request(router, f"before-{i}", KEYS[0]) != 200:
            raise f.CannotRun("a proper request was not served before the change")
        fleet.request(router, f"never-before-{i}", NEVER_HELD)
    if trouble:
        # two keys are taken away, 1.5 s apart (the site's largest dose of `revoke`): the tenant's last one too
        fleet.replace(fleet.document(2, tenants(KEYS[1:])), 1)
        time.sleep(1.5)
        acknowledged_at = fleet.replace(fleet.document(3, tenants([])), 2)
    else:
        # the same number of changes, which take no key away
        fleet.replace(fleet.document(2, tenants(KEYS), timeout_ms=7000), 1)
        time.sleep(1.5)
        acknowledged_at = fleet.replace(fleet.document(3, tenants(KEYS), timeout_ms=6000), 2)
    time.sleep(f.TIMING["RevokeMs"] / 1000 + 1)
    broken = False
    for turn in range(3):
        for i, router in enumerate(fleet.edge):
            for name, key in (("revoked0", KEYS[0]), ("revoked1", KEYS[1]), ("never", NEVER_HELD)):
                if not trouble and key != NEVER_HELD:
                    continue
                attempt = f"{name}-{turn}-{i}"
                late_ms = (time.monotonic() - acknowledged_at) * 1000
                status = fleet.request(router, attempt, key)
                for run in fleet.runs_of(attempt):
                    broken = True
                    fleet.record.write(f"BROKEN: attempt {attempt}, sent {late_ms:.0f} ms after the "
                                       f"acknowledgement with key {key}, ran at {run['server']} for tenant "
                                       f"{run['tenant']}; its client got {status}")
        time.sleep(1)
    return broken or any(fleet.runs_of(f"never-before-{i}") for i in range(len(fleet.edge)))


f.main(os.path.dirname(os.path.abspath(__file__)), case)
