"""Tests that invalid operators' calls change nothing and name each invalid field."""

import json

from tornado import testing, web

from sardinegauge import logs, outcome
from sardinegauge.entries import operatorapi

TOKENS = {"secret-a": "ada", "secret-b": "bob"}


class FakeState:
    """Answers all proposals and queries with `result`."""

    def __init__(self):
        self.commands = []
        self.result = outcome.Answered(value=outcome.Accepted(version=4, ids=["j1"]))

    async def propose(self, command, timeout_s):
        self.commands.append(command)
        return self.result

    async def query(self, kind, arguments, timeout_s):
        return self.result


class TestOperatorApi(testing.AsyncHTTPTestCase):
    def get_app(self):
        self.state = FakeState()
        log = logs.get_logger("test")
        return web.Application(operatorapi.routes(self.state, TOKENS, log))

    def call(self, method, fields, token="secret-a", content_type="application/json"):
        body = fields if isinstance(fields, (str, bytes)) else json.dumps(fields)
        return self.fetch(
            f"/sardinegauge.v1.Operator/{method}",
            method="POST",
            body=body,
            headers={
                "Authorization": f"Bearer {token}",
                "Content-Type": content_type,
            },
        )

    def test_change_carries_operator_and_request_id(self):
        reply = self.call("CancelJobs", {"request_id": "r1", "jobs": ["j1"]})
        assert reply.code == 200
        assert json.loads(reply.body)["ids"] == ["j1"]
        (command,) = self.state.commands
        assert (command.operator, command.request_id) == ("ada", "r1")

    def test_unknown_token_changes_nothing(self):
        assert self.call("CancelJobs", {}, token="secret-c").code == 401
        assert self.state.commands == []

    def test_every_bad_field_is_named_and_nothing_is_proposed(self):
        reply = self.call(
            "SubmitJob", {"request_id": "r", "cores": "many", "tenat": "karri"}
        )
        assert reply.code == 400
        paths = [p["path"] for p in json.loads(reply.body)["problems"]]
        assert paths == ["cores", "tenat"]
        assert self.state.commands == []

    def test_missing_request_id_is_refused(self):
        reply = self.call("CancelJobs", {"jobs": ["j1"]})
        assert reply.code == 400
        assert self.state.commands == []

    def test_malformed_bodies_are_answered_with_400(self):
        for body in ("{", "[]", "\x00"):
            assert self.call("SubmitJob", body).code == 400
        binary = self.call(
            "SubmitJob", b"\xff\xff", content_type="application/x-protobuf"
        )
        assert binary.code == 400

    def test_lost_answer_is_distinguished_from_a_refusal(self):
        self.state.result = outcome.Lost(reason="leader gone")
        reply = self.call("CancelJobs", {"request_id": "r1", "jobs": ["j1"]})
        assert reply.code == 504
        assert json.loads(reply.body)["verdict"] == "may-have-run"
        self.state.result = outcome.Refused(reason="no leader")
        reply = self.call("CancelJobs", {"request_id": "r1", "jobs": ["j1"]})
        assert reply.code == 503
        assert reply.headers["Retry-After"] == "1"
        assert json.loads(reply.body)["verdict"] == "not-run"

    def test_conflict_names_the_winner(self):
        answer = outcome.Conflict(version=8, operator="bob")
        self.state.result = outcome.Answered(value=answer)
        reply = self.call(
            "SetConfiguration", {"request_id": "r", "base_version": 7, "document": "{}"}
        )
        assert reply.code == 409
        assert json.loads(reply.body)["winner"] == "bob"

    def test_workflow_document_is_read_with_comments_and_unknown_fields_named(self):
        fields = {"request_id": "r", "id": "w", "queue": "q"}
        document = "{steps: [{count: 2}], /* none */ payload: 'x'}"
        reply = self.call("SubmitWorkflow", {**fields, "document": document})
        assert reply.code == 200
        (command,) = self.state.commands
        assert (command.steps, command.payload) == ([{"count": 2}], "x")
        for bad in ("[", "[]", "{steps: [], stepz: 1}"):
            reply = self.call("SubmitWorkflow", {**fields, "document": bad})
            assert reply.code == 400
        document = "{queues: [], pools: []}"
        fields = {"request_id": "r", "version": 3, "document": document}
        assert self.call("SetQueues", fields).code == 200
        assert self.state.commands[-1].version == 3
