"""The operators' calls of ``schema/operator.proto`` as tornado handlers.

Each call is ``POST /sardinegauge.v1.Operator/<Method>`` with a JSON body, or with a
Protobuf body of type ``application/x-protobuf``. A call that changes something is
proposed as one command to the replicated log; all others are linearizable queries.
"""

import hmac
import json

from google.protobuf import json_format
from tornado import web

from sardinegauge import calls, outcome
from sardinegauge import operator_pb2 as schema

CALL_TIMEOUT_S = 10.0
MAX_BODY_BYTES = 1 << 20
RETRY_AFTER_S = 1
BINARY_TYPE = "application/x-protobuf"
_PATH = r"/sardinegauge\.v1\.Operator/(\w+)"

_STATUS_BY_OUTCOME = {
    "accepted": 200,
    "conflict": 409,
    "invalid": 400,
    "impossible": 422,
}
_STATUS_BY_VERDICT = {
    outcome.Verdict.NOT_RUN: 503,
    outcome.Verdict.MAY_HAVE_RUN: 504,
}


def routes(state_client, tokens, log):
    """Return the tornado routes of the operators' calls.

    Parameters
    ----------
    state_client : stateclient.StateClient
        Carries commands and queries to the leader.
    tokens : dict of str to str
        Names of operators by their bearer tokens.
    log : structlog logger
        Receives one line for each call.
    """
    arguments = {"state_client": state_client, "tokens": tokens, "log": log}
    return [(_PATH, OperatorHandler, arguments)]


def operator_of(authorization, tokens):
    """Return the operator whose bearer token the header contains, or None.

    Every token is compared, each in constant time, so that the duration of a refusal
    reveals nothing about the tokens.

    Examples
    --------
    >>> operator_of("Bearer abc", {"abc": "ada"})
    'ada'
    >>> operator_of("Bearer abd", {"abc": "ada"}) is None
    True
    """
    scheme, _, given = authorization.partition(" ")
    operator_name = None
    for token, operator in tokens.items():
        is_same = hmac.compare_digest(token.encode(), given.strip().encode())
        if is_same and scheme.lower() == "bearer":
            operator_name = operator
    return operator_name


class OperatorHandler(web.RequestHandler):
    """Serves all methods of the operators' service."""

    def initialize(self, state_client, tokens, log):
        """Store the arguments of the route."""
        self.state_client = state_client
        self.tokens = tokens
        self.log = log

    def write_error(self, status_code, **kwargs):
        """Answer an unexpected failure as JSON, without a stack trace."""
        self.set_header("Content-Type", "application/json")
        self.finish(json.dumps({"reason": self._reason}))

    async def post(self, name):
        """Check the token and the body, execute the call, write the reply."""
        operator = operator_of(
            self.request.headers.get("Authorization", ""), self.tokens
        )
        if operator is None:
            self.set_header("WWW-Authenticate", "Bearer")
            self._fail(401, "missing or unknown bearer token")
            return
        call = calls.BY_NAME.get(name)
        if call is None:
            self._fail(404, f"no such method: {name}")
            return
        request = call.request()
        problems = self._parse(request)
        if problems:
            self._write_problems(problems)
            return
        if call.is_change:
            await self._propose_change(call, request, operator)
        else:
            await self._answer_query(call, request, operator)

    def _fail(self, status, reason):
        self.set_status(status)
        self.set_header("Content-Type", "application/json")
        self.finish(json.dumps({"reason": reason}))

    @property
    def _is_binary(self):
        given = self.request.headers.get("Content-Type", "")
        return given.startswith(BINARY_TYPE)

    def _parse(self, request):
        """Fill the request message; return the problems as (path, reason) pairs."""
        body = self.request.body
        if len(body) > MAX_BODY_BYTES:
            return [("", f"body is over {MAX_BODY_BYTES} bytes")]
        if self._is_binary:
            try:
                request.ParseFromString(body)
            except Exception as error:
                return [("", f"not a binary {request.DESCRIPTOR.name}: {error}")]
            return []
        try:
            data = json.loads(body or b"{}")
        except ValueError as error:
            return [("", f"not JSON: {error}")]
        return fill_message(request, data)

    def _write_problems(self, problems):
        reply = schema.ChangeReply(verdict="not-run", outcome="invalid")
        for path, reason in problems:
            reply.problems.add(path=path, reason=reason)
        self._write_message(reply, 400)

    async def _propose_change(self, call, request, operator):
        if not request.request_id:
            self._write_problems([("request_id", "missing; a resend needs it")])
            return
        try:
            command = call.to_command(request, operator)
        except calls.BadRequestError as error:
            self._write_problems(error.problems)
            return
        result = await self.state_client.propose(command, CALL_TIMEOUT_S)
        reply, status = change_reply(result)
        self.log.info(
            "operator_call",
            call=call.name,
            operator=operator,
            request_id=request.request_id,
            verdict=reply.verdict,
            outcome=reply.outcome,
        )
        self._write_message(reply, status)

    async def _answer_query(self, call, request, operator):
        result = await self.state_client.query(
            call.query_kind, call.to_arguments(request), CALL_TIMEOUT_S
        )
        if not isinstance(result, outcome.Answered):
            self.set_header("Retry-After", str(RETRY_AFTER_S))
            self._fail(503, getattr(result, "reason", "") or "no leader is known")
            return
        if not result.value:
            self._fail(404, "not found")
            return
        reply = call.reply()
        value = call.to_reply(result.value)
        json_format.ParseDict(value, reply, ignore_unknown_fields=True)
        self.log.info("operator_call", call=call.name, operator=operator)
        self._write_message(reply, 200)

    def _write_message(self, message, status):
        self.set_status(status)
        if status == 503:
            self.set_header("Retry-After", str(RETRY_AFTER_S))
        if self._is_binary:
            self.set_header("Content-Type", BINARY_TYPE)
            self.finish(message.SerializeToString())
            return
        self.set_header("Content-Type", "application/json")
        self.finish(
            json_format.MessageToJson(
                message,
                preserving_proto_field_name=True,
                always_print_fields_with_no_presence=True,
            )
        )


def change_reply(result):
    """Return the reply and HTTP status for the tagged outcome of a proposal."""
    reply = schema.ChangeReply(verdict=result.verdict.value)
    if not isinstance(result, outcome.Answered):
        reply.outcome = "unknown"
        reply.reason = getattr(result, "reason", "") or "no leader is known"
        return reply, _STATUS_BY_VERDICT[result.verdict]
    answer = result.value
    reply.outcome = type(answer).__name__.lower()
    reply.reason = getattr(answer, "reason", "")
    if isinstance(answer, outcome.Accepted):
        reply.version = answer.version
        reply.ids.extend(answer.ids)
    elif isinstance(answer, outcome.Conflict):
        reply.version = answer.version
        reply.winner = answer.operator
    elif isinstance(answer, outcome.Invalid):
        for path, reason in answer.problems:
            reply.problems.add(path=path, reason=reason)
    return reply, _STATUS_BY_OUTCOME[reply.outcome]


def fill_message(request, data):
    """Fill a message from plain JSON data, field by field.

    Returns
    -------
    list of (str, str)
        Path and reason of every invalid field. If any is returned, the message is
        incomplete and must not be used.

    Examples
    --------
    >>> fill_message(schema.SubmitJobRequest(), {"cores": "many", "tenat": "karri"})
    [('cores', 'must be a number'), ('tenat', 'unknown field')]
    """
    if not isinstance(data, dict):
        return [("", "must be an object")]
    problems = []
    fields = request.DESCRIPTOR.fields_by_name
    for name, value in data.items():
        if name not in fields:
            problems.append((name, "unknown field"))
            continue
        try:
            json_format.ParseDict({name: value}, request)
        except json_format.ParseError:
            problems.append((name, f"must be {_type_name(fields[name])}"))
    return problems


def _type_name(field):
    name_by_type = {
        field.CPPTYPE_STRING: "text",
        field.CPPTYPE_BOOL: "true or false",
        field.CPPTYPE_DOUBLE: "a number",
    }
    type_name = name_by_type.get(field.cpp_type, "a whole number from 0")
    return f"a list of {type_name}" if field.is_repeated else type_name
