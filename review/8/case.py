"""ORDER: a stream whose server crashes in the middle of an event ends as complete, with half of the event."""
import os
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
import standin_2 as s  # noqa: E402

SERVERS, STREAMS, DOWN_S, WORK_MS = 8, 4, 4, 150
WHOLE = b"".join(s.event(number) for number in range(1, s.EVENTS + 1))


def main(record, fleets):
    fleet = s.Fleet(record, SERVERS, "stream", WORK_MS)
    fleets.append(fleet)
    fleet.configure(5, 0, [s.route(Resumable=True)])
    fleet.await_ready()
    broken = 0
    for number in range(STREAMS):
        attempt = "%016x" % (0x9C41D07BE2A35F00 + number)
        got = []
        client = threading.Thread(
            target=lambda: got.append(fleet.request(number, "/lohu930/2f", b"prompt", 9, attempt)[1]))
        client.start()
        server = fleet.await_word("HALF", attempt, 5)
        if not server:
            raise s.CannotRun("stream %s did not run" % attempt)
        if s.TROUBLE:
            server.kill()
        client.join()
        answer = got[0]
        complete = answer.whole and answer.status == 200
        if complete and answer.body != WHOLE:
            broken += 1
            record.say("ORDER: %s ended as complete with %d of %d bytes" % (attempt, len(answer.body), len(WHOLE)))
        elif not complete and not s.TROUBLE:
            raise s.CannotRun("an undisturbed stream was not served")
        if s.TROUBLE:
            time.sleep(DOWN_S)
            server.start()
            fleet.list_now()
            time.sleep(1)
    record.say("%d streams, %d ended as complete before their last piece" % (STREAMS, broken))
    return broken > 0


s.play(FOLDER, "ORDER", main)
