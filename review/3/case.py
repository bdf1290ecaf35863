"""Case 3: a service's servers hold two models; new weights of the second one are named and acknowledged, and no
server is ever brought to them: its requests go on beginning on the old version."""
import json
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
import fleet as f  # noqa: E402

MODELS = ["daka510000", "daka520000"]
LOAD_S = 1.8  # SYSTEM.md: new weights take a server 1.8 s


class TwoModelServer(f.ModelServer):
    """A server that holds two models, each with a version of its own (PROTOCOL.md: other models aren't
    touched by an order)."""

    def __init__(self, *arguments):
        self.versions = {model: 1 for model in MODELS}
        self.loading_until = 0
        super().__init__(*arguments)

    def listed(self):
        models = [{"Name": model, "ConfigVersion": self.versions[model], "Adapters": []} for model in MODELS]
        return {**super().listed(), "Models": models}

    def handle_request(self, connection, line, fields, body):
        path = line.split(" ")[1]
        loading = time.monotonic() < self.loading_until
        if path == "/order":
            order = json.loads(body)
            self.call_sequence += 1
            self.fleet.record.write(f"server {self.instance} gets order {body.decode()}")
            if loading:
                f.answer_json(connection, {}, 409)
            elif self.versions[order["ModelName"]] == order["ConfigVersion"]:
                f.answer_json(connection, {}, 200)
            else:
                self.versions[order["ModelName"]] = order["ConfigVersion"]
                self.loading_until = time.monotonic() + LOAD_S
                f.answer_json(connection, {}, 202)
            return True
        if path == "/report":
            f.answer_json(connection, {"Stage": "combined", "Models": self.listed()["Models"],
                                       "Saturated": loading, "CallSeq": self.call_sequence, "Queued": 0,
                                       "Active": 0, "KvUsed": 0, "KvTotal": 239003, "HandleCount": 0})
            return True
        return super().handle_request(connection, line, fields, body)

    def run_request(self, connection, method, target, fields, body):
        model = fields["x-notchlug-model-name"]
        self.version = self.versions[model]
        expected = fields.get("x-notchlug-expected-version")
        refusal = [("X-Notchlug-Attempt-Id", fields["x-notchlug-attempt-id"]), ("X-Notchlug-Not-Executed", "1")]
        if time.monotonic() < self.loading_until:
            f.answer(connection, 503, refusal, b"")
            return True
        if expected not in (None, str(self.version)):
            self.fleet.record.write(f"server {self.instance} answers 421: version {expected} of {model} is "
                                    f"expected, it has {self.version}")
            f.answer(connection, 421, refusal, b"")
            return True
        self.fleet.begun.append((fields["x-notchlug-attempt-id"], model, self.version, time.monotonic()))
        return super().run_request(connection, method, target, fields, body)


def case(fleet, trouble):
    fleet.begun = []
    document = fleet.document(1, [{"Name": "kaje80", "AccessKeys": ["i9n73hh2b9wu3fexd9dn"], "Priority": 1,
                                   "Isolated": False}])
    document["ServiceList"][0]["EngineType"]["Models"] = [{"Name": model} for model in MODELS]
    fleet.replace(document, 0)
    fleet.wait_ready()
    time.sleep(f.TIMING["ContactMs"] / 1000)
    for model in MODELS:
        if fleet.request(fleet.edge[0], "before-" + model, "i9n73hh2b9wu3fexd9dn", model=model) != 200:
            raise f.CannotRun(f"a proper request for {model} was not served before the change")
    wanted = 1
    if trouble:
        wanted = 2
        status, _ = fleet.operator_call("POST", "/version-put", {"ModelName": MODELS[1], "ConfigVersion": wanted})
        if status != 200:
            raise f.CannotRun(f"/version-put was answered with {status}")
    acknowledged_at = time.monotonic()
    broken = False
    for turn in range(28):  # calm throughout: 28 s, and 1.5 x VersionMs is 22.5 s
        time.sleep(1)
        for i, router in enumerate(fleet.edge):
            for model in MODELS:
                fleet.request(router, f"{model}-{turn}-{i}", "i9n73hh2b9wu3fexd9dn", model=model)
    for attempt, model, version, began_at in fleet.begun:
        late_ms = (began_at - acknowledged_at) * 1000
        if model == MODELS[1] and version < wanted and late_ms > f.TIMING["VersionMs"]:
            broken = True
            fleet.record.write(f"BROKEN: attempt {attempt} began on version {version} of {model}, {late_ms:.0f} ms "
                               f"after version {wanted} was acknowledged")
    for server in fleet.servers:
        fleet.record.write(f"server {server.instance} ends with versions {server.versions}, orders taken: "
                           f"{server.call_sequence}")
    old = sum(server.versions[MODELS[1]] < wanted for server in fleet.servers)
    return broken or (old > 1 and old * 10 > len(fleet.servers))


f.main(os.path.dirname(os.path.abspath(__file__)), case, servers=3, server_class=TwoModelServer)
