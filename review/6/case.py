"""DENIED: after a configuration whose MaxBodyBytes is 4 GiB, ordinary requests are answered with 413."""
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
import standin_2 as s  # noqa: E402

REQUESTS, BODY = 60, b"p" * 17000  # the mean size of a request's body at the small sites
RAISED = 4294967296  # 4 GiB


def phase(fleet, name, record):
    """Send the requests. Returns how many were served, and how many were ended with a 4xx of our own."""
    served = denied = 0
    for i in range(REQUESTS):
        attempt, answer = fleet.request(i, "/lohu930/2f", BODY)
        served += answer.whole and answer.status == 200
        denied += (300 <= answer.status < 500 and answer.status not in (408, 421, 429)
                   and "x-notchlug-server-seal" not in answer.fields and not fleet.runs(attempt))
    record.say("%s: %d requests of %d bytes: %d served, %d denied" % (name, REQUESTS, len(BODY), served, denied))
    return served, denied


def main(record, fleets):
    fleet = s.Fleet(record, 4, "answer", 5)
    fleets.append(fleet)
    route = s.route(RouteType="non_idempotent")
    fleet.configure(5, 0, [route])
    fleet.await_ready()
    served, denied_before = phase(fleet, "MaxBodyBytes 4194304", record)
    if served < REQUESTS:
        raise s.CannotRun("only %d of %d requests were served at first" % (served, REQUESTS))
    size = RAISED if s.TROUBLE else s.LIMITS["MaxBodyBytes"]
    fleet.configure(7, 5, [route], dict(s.LIMITS, MaxBodyBytes=size))
    time.sleep(s.BOUNDS["ConfigApplyMs"] / 1000 + 1)
    _, denied_after = phase(fleet, "MaxBodyBytes %d, acknowledged" % size, record)
    allowed = 5 + 2 * REQUESTS / 500
    record.say("denied %d of %d requests; allowed are %.2f" % (denied_before + denied_after, 2 * REQUESTS, allowed))
    return denied_before + denied_after > allowed


s.play(FOLDER, "DENIED", main)
