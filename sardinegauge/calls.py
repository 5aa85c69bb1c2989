"""Table of the operator API: message classes, commands and query kinds by call."""

import json5

from sardinegauge import commands, record
from sardinegauge import operator_pb2 as schema
from sardinegauge.intake import limits
from sardinegauge.workflows import queues

# The leader receives a message from a live member every 100 ms.
LIVENESS_TIMEOUT_MS = 1000


class BadRequestError(Exception):
    """The content of a request is malformed; `problems` has (path, reason) pairs."""

    def __init__(self, problems):
        self.problems = problems
        super().__init__(str(problems))


class Call(record.Record):
    """One method of the operator API.

    Calls that change state have `to_command(request, operator)`; calls that read have
    `query_kind`, `to_arguments(request)` and `to_reply(value)`.
    """

    __slots__ = (
        "name",
        "request",
        "reply",
        "to_command",
        "query_kind",
        "to_arguments",
        "to_reply",
    )
    _defaults = {
        "to_command": None,
        "query_kind": "",
        "to_arguments": None,
        "to_reply": None,
    }

    @property
    def is_change(self):
        """Whether the call changes state."""
        return self.to_command is not None


def _set_configuration(request, operator):
    try:
        document = json5.loads(request.document)
    except ValueError as error:
        raise BadRequestError(
            [("document", f"not JSON with comments: {error}")]
        ) from error
    return commands.SetConfiguration(
        operator=operator,
        request_id=request.request_id,
        base_version=request.base_version,
        document=document,
    )


def _submit_job(request, operator):
    return commands.SubmitJob(
        operator=operator,
        request_id=request.request_id,
        name=request.name,
        tenant=request.tenant,
        task_count=request.task_count or 1,
        cores=request.cores,
        memory_mb=request.memory_mb,
        accelerators=request.accelerators,
        run_time_s=request.run_time_s or commands.SubmitJob._defaults["run_time_s"],
        urgent=request.urgent,
        gang=request.gang,
        command=request.command,
        group=request.group,
    )


def _cancel_jobs(request, operator):
    return commands.CancelJobs(
        operator=operator, request_id=request.request_id, jobs=list(request.jobs)
    )


def _declare_service(request, operator):
    return commands.DeclareService(
        operator=operator,
        request_id=request.request_id,
        name=request.name,
        tenant=request.tenant,
        replicas=request.replicas,
        cores=request.cores,
        memory_mb=request.memory_mb,
        accelerators=request.accelerators,
        connections=request.connections,
        command=request.command,
    )


def _drain_upstream(request, operator):
    return commands.DrainUpstream(
        operator=operator,
        request_id=request.request_id,
        upstream=request.upstream,
        draining=not request.undo,
    )


def _drain_failure_domain(request, operator):
    return commands.DrainDomain(
        operator=operator,
        request_id=request.request_id,
        failure_domain=request.failure_domain,
        undo=request.undo,
    )


def _change_member(request, operator):
    return commands.ChangeMember(
        operator=operator,
        request_id=request.request_id,
        identity=request.identity,
        action=request.action,
    )


def _parse_document(request):
    """Return the document of a request, an object in JSON with comments."""
    try:
        document = json5.loads(request.document)
    except ValueError as error:
        problem = ("document", f"not JSON with comments: {error}")
        raise BadRequestError([problem]) from error
    if not isinstance(document, dict):
        raise BadRequestError([("document", "must be an object")])
    return document


def _set_queues(request, operator):
    document = _parse_document(request)
    try:
        parsed_queues = [
            queues.Queue.from_dict(item) for item in document.get("queues", [])
        ]
        parsed_pools = [
            queues.Pool.from_dict(item) for item in document.get("pools", [])
        ]
        parsed_limits = limits.RequestLimits.from_dict(document.get("limits", {}))
    except (TypeError, ValueError) as error:
        raise BadRequestError([("document", str(error))]) from error
    return commands.SetQueues(
        version=request.version,
        packed=queues.pack(parsed_queues, parsed_pools, parsed_limits),
        source=request.document,
    )


def _submit_workflow(request, operator):
    document = _parse_document(request)
    default_by_field = {"payload": "", "repeats": 0, "first_at_ms": 0, "interval_ms": 0}
    unknown = document.keys() - default_by_field.keys() - {"steps"}
    if unknown:
        raise BadRequestError([(name, "unknown field") for name in sorted(unknown)])
    fields = {
        name: document.get(name, value) for name, value in default_by_field.items()
    }
    return commands.SubmitWorkflow(
        id=request.id, queue=request.queue, steps=document.get("steps", []), **fields
    )


def _cancel_workflow(request, operator):
    return commands.CancelWorkflow(id=request.id, is_binding=True)


def _placement_arguments(request):
    return {
        "queue": request.queue,
        "cpu_millis": request.cpu_millis,
        "memory_mb": request.memory_mb,
        "accelerators": request.accelerators,
        "is_filler": request.best_effort,
        "label": request.label,
        "image": request.image,
        "target_ms": request.target_ms,
    }


def _no_arguments(request):
    return {}


def _unchanged(value):
    return value


def _members_reply(value):
    """Add the role of each member and whether it is live."""
    rows = []
    for member in value["members"]:
        role = "voter" if member["is_voter"] else "learner"
        rows.append(
            {
                **member,
                "role": "leader" if member["is_leader"] else role,
                "live": member["silent_ms"] < LIVENESS_TIMEOUT_MS,
            }
        )
    return {"members": rows}


def _change_call(name, to_command):
    return Call(
        name=name,
        request=getattr(schema, f"{name}Request"),
        reply=schema.ChangeReply,
        to_command=to_command,
    )


def _read_call(
    name, reply, query_kind, to_arguments=_no_arguments, to_reply=_unchanged
):
    return Call(
        name=name,
        request=getattr(schema, f"{name}Request"),
        reply=reply,
        query_kind=query_kind,
        to_arguments=to_arguments,
        to_reply=to_reply,
    )


_CALLS = (
    _change_call("SetConfiguration", _set_configuration),
    _change_call("SubmitJob", _submit_job),
    _change_call("CancelJobs", _cancel_jobs),
    _change_call("DeclareService", _declare_service),
    _change_call("DrainUpstream", _drain_upstream),
    _change_call("DrainFailureDomain", _drain_failure_domain),
    _read_call("ListFailureDomains", schema.ListFailureDomainsReply, "failure_domains"),
    _change_call("ChangeMember", _change_member),
    _change_call("SetQueues", _set_queues),
    _change_call("SubmitWorkflow", _submit_workflow),
    _change_call("CancelWorkflow", _cancel_workflow),
    _read_call("GetQueues", schema.GetQueuesReply, "queue_document"),
    _read_call(
        "ListWorkflows",
        schema.ListWorkflowsReply,
        "workflows",
        lambda request: {"queue": request.queue},
    ),
    _read_call(
        "GetWorkflow",
        schema.Workflow,
        "workflow_detail",
        lambda request: {"id": request.id},
    ),
    _read_call("GetConfiguration", schema.GetConfigurationReply, "configuration"),
    _read_call(
        "ListJobs",
        schema.ListJobsReply,
        "jobs",
        lambda request: {"tenant": request.tenant, "state": request.state},
    ),
    _read_call("GetJob", schema.Job, "job", lambda request: {"id": request.id}),
    _read_call("ListServices", schema.ListServicesReply, "services"),
    _read_call("ListUpstreams", schema.ListUpstreamsReply, "upstreams"),
    _read_call("ListTenants", schema.ListTenantsReply, "tenants"),
    _read_call(
        "ListMembers", schema.ListMembersReply, "members", to_reply=_members_reply
    ),
    _read_call(
        "ListAudit",
        schema.ListAuditReply,
        "audit",
        lambda request: {"limit": request.limit},
    ),
    _read_call(
        "Explain",
        schema.ExplainReply,
        "explain",
        lambda request: {"id": request.id},
    ),
    _read_call(
        "ExplainPlacement",
        schema.ExplainPlacementReply,
        "explain_placement",
        _placement_arguments,
    ),
)

BY_NAME = {call.name: call for call in _CALLS}
