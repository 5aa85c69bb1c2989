"""HTTP client of the operator API, with request ids that make resends idempotent."""

import json
import secrets
import time

from tornado import httpclient

from sardinegauge import errors

CALL_TIMEOUT_S = 12.0
MAX_ATTEMPTS = 4
RETRY_DELAY_S = 0.5
_API_PATH = "/sardinegauge.v1.Operator/"


class CallError(errors.UserError):
    """A call failed; the exit status says whether it may have run."""

    def __init__(self, message, exit_status=1):
        super().__init__(message)
        self.exit_status = exit_status


NOT_RUN_STATUS = 4
MAY_HAVE_RUN_STATUS = 5
CONFLICT_STATUS = 6
REFUSED_STATUS = 7
WAIT_TIMEOUT_STATUS = 8


class Client:
    """Sends calls to the entries in turn until one answers.

    Parameters
    ----------
    entries : list of str
        Entry addresses, ``ip:port``.
    token : str
        The operator's bearer token.
    is_json : bool
        Whether output is JSON instead of tables.
    """

    def __init__(self, entries, token, is_json=False):
        self.entries = entries
        self.token = token
        self.is_json = is_json

    def read(self, method, **fields):
        """Return the reply to a read call as a plain dict."""
        response = self._post(method, fields)
        data = json.loads(response.body or b"{}")
        if response.code != 200:
            status = NOT_RUN_STATUS if response.code == 503 else 1
            raise CallError(f"{method}: {data.get('reason', response.code)}", status)
        return data

    def change(self, method, request_id="", **fields):
        """Make a call that changes state and return its reply as a plain dict.

        All attempts have the same request id, so a resend after a lost answer returns
        the first answer and does not repeat the change.
        """
        request_id = request_id or secrets.token_hex(8)
        response = self._post(method, {"request_id": request_id, **fields})
        data = json.loads(response.body or b"{}")
        _raise_unless_accepted(method, request_id, response.code, data)
        return data

    def _post(self, method, fields):
        http = httpclient.HTTPClient()
        last_error = "no entry address given"
        may_have_run = False
        for attempt in range(MAX_ATTEMPTS):
            if attempt:
                time.sleep(RETRY_DELAY_S)
            address = self.entries[attempt % len(self.entries)]
            try:
                request = self._request(address, method, fields)
                response = http.fetch(request, raise_error=False)
            except (OSError, httpclient.HTTPError) as error:
                last_error = f"{address}: {error}"
                may_have_run = may_have_run or not isinstance(
                    error, ConnectionRefusedError
                )
                continue
            if response.code not in (503, 504):
                return response
            may_have_run = may_have_run or response.code == 504
            last_error = f"{address}: {_reason_of(response)}"
        status = MAY_HAVE_RUN_STATUS if may_have_run else NOT_RUN_STATUS
        request_id = fields.get("request_id")
        hint = f" (repeat with --request-id {request_id})" if request_id else ""
        raise CallError(f"{method}: {last_error}{hint}", status)

    def _request(self, address, method, fields):
        return httpclient.HTTPRequest(
            f"http://{address}{_API_PATH}{method}",
            method="POST",
            body=json.dumps(fields),
            headers={
                "Authorization": f"Bearer {self.token}",
                "Content-Type": "application/json",
            },
            request_timeout=CALL_TIMEOUT_S,
        )


def _reason_of(response):
    try:
        return json.loads(response.body).get("reason") or f"status {response.code}"
    except (ValueError, TypeError):
        return f"status {response.code}: {response.reason}"


def _raise_unless_accepted(method, request_id, code, data):
    outcome = data.get("outcome", "")
    if code == 200 and outcome == "accepted":
        return
    reason = data.get("reason") or f"status {code}"
    if outcome == "conflict":
        raise CallError(
            f"{method}: {data.get('winner')} changed it first, "
            f"the newest version is {data.get('version')}; {reason}",
            CONFLICT_STATUS,
        )
    if data.get("problems"):
        lines = "\n".join(f"  {p['path']}: {p['reason']}" for p in data["problems"])
        raise CallError(f"{method} changed nothing:\n{lines}", REFUSED_STATUS)
    if outcome in ("invalid", "impossible"):
        raise CallError(f"{method}: {reason}", REFUSED_STATUS)
    raise CallError(f"{method}: {reason} (request id {request_id})", 1)
