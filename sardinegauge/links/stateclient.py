"""Client of the replicated state for entries, agents and the command line."""

import asyncio
import json
import random

from sardinegauge import commands, errors, outcome
from sardinegauge.links import dialers, link, messages

# A frozen or partitioned leader does not answer; after these timeouts the client asks
# another replica.
POLL_ATTEMPT_TIMEOUT_S = 0.4
QUERY_ATTEMPT_TIMEOUT_S = 1.0
# A commit takes about 10 ms; a frozen leader accepts no command.
PROPOSE_ATTEMPT_TIMEOUT_S = 0.7
POLL_TIMEOUT_S = 1.0
RETRY_DELAY_S = 0.05
# One link to the leader, and one to a replica that is asked when the leader fails.
MAX_LINKS = 2
# An address without a link for this long is replaced by another address.
DIAL_TIMEOUT_S = 0.4

# How an attempt of a call ended.
ANSWERED = "answered"
REDIRECTED = "redirected"
TIMED_OUT = "timed_out"
LINK_CLOSED = "link_closed"

# Replies whose `confirmed` field says whether a leader with a quorum sent them.
_CONFIRMABLE_REPLIES = (messages.PollReply, messages.Directive, messages.WorkerOrders)


class StateClient(link.Handler):
    """Maintains links to the leader and one other replica and follows redirects.

    Each call returns a tagged outcome: `outcome.Answered` with the value,
    `outcome.Refused` if the request did not run and never will, or `outcome.Lost` if
    it may have run but its answer was lost.

    Parameters
    ----------
    addresses : list of str
        ``ip:port`` of the replicas.
    hello : messages.Hello
        Sent on each link.
    on_push : callable or None
        Called with each message that a replica sends outside an exchange.
    on_attempt : callable or None
        Called with the message of each attempt and how the attempt ended. A reply to an
        attempt that timed out is discarded, so its work is lost.

    Examples
    --------
    ::

        client = StateClient(["10.0.0.1:7000"], messages.Hello(role="entry"))
        client.start()
        answer = await client.query("configuration", {}, timeout_s=2)
    """

    def __init__(self, addresses, hello, on_push=None, on_attempt=None):
        self.on_push = on_push
        self.on_attempt = on_attempt
        self.leader = ""
        self._hello = hello
        self._addresses = list(addresses)
        self._configured = list(addresses)
        self._dialers_by_address = {}
        self._dialed_at_s = {}
        self._is_started = False

    def start(self):
        """Start connecting in the background."""
        self._is_started = True
        random.shuffle(self._addresses)
        self._open_missing_links()

    def stop(self):
        """Close all links."""
        self._is_started = False
        for dialer in self._dialers_by_address.values():
            dialer.stop()

    def update_members(self, members):
        """Replace the address list by the leader's members and the configured ones."""
        retained = dict.fromkeys([*members, *self._configured])
        self._addresses = [a for a in self._addresses if a in retained]
        self._addresses += [a for a in retained if a not in self._addresses]

    def configure(self, addresses):
        """Replace the configured addresses after a change of the settings."""
        self._configured = list(addresses)
        self._addresses += [a for a in addresses if a not in self._addresses]

    def _open_missing_links(self):
        """Dial further addresses while there are fewer than `MAX_LINKS` links."""
        if not self._is_started:
            return
        for address in list(self._addresses):
            if len(self._dialers_by_address) >= MAX_LINKS:
                return
            if address not in self._dialers_by_address:
                self._open_link(address)

    def _open_link(self, address):
        dialer = dialers.Dialer(address, self, self._hello)
        self._dialers_by_address[address] = dialer
        self._dialed_at_s[address] = asyncio.get_running_loop().time()
        dialer.start()

    def _close_link(self, address):
        """Close the link to an address and move the address to the end of the list."""
        self._dialers_by_address.pop(address).stop()
        del self._dialed_at_s[address]
        if address in self._addresses:
            self._addresses.remove(address)
            self._addresses.append(address)

    def _replace_unresponsive(self):
        """Replace addresses that have had no link for `DIAL_TIMEOUT_S`."""
        now_s = asyncio.get_running_loop().time()
        for address, dialer in list(self._dialers_by_address.items()):
            is_past_dial_timeout = now_s - self._dialed_at_s[address] > DIAL_TIMEOUT_S
            if not dialer.is_open and is_past_dial_timeout:
                self._close_link(address)
        self._open_missing_links()

    def on_message(self, link, message):
        """Pass a message that was sent outside an exchange to `on_push`."""
        if self.on_push is not None:
            self.on_push(message)

    def on_exchange(self, exchange, message):
        """Close the exchange, since replicas do not open exchanges."""
        exchange.close()

    async def propose(self, command, timeout_s):
        """Append a command to the replicated log and wait until it is applied.

        Parameters
        ----------
        command : commands.Command or dict
            A record of `commands`, or the tagged dict of a membership change.
        timeout_s : float
            Time for all attempts, in seconds.

        Returns
        -------
        outcome.Answered
            Its value is the state machine's answer, such as `outcome.Accepted`.
        outcome.Refused
            The command did not run and never will.
        outcome.Lost
            The command may have run; one with a request id can be proposed again.
        """
        if isinstance(command, dict):
            body = json.dumps(command).encode()
        else:
            body = commands.REGISTRY.dumps(command)

        def build_message(remaining_s):
            return messages.Propose(command=body, deadline_ms=int(remaining_s * 1000))

        reply = await self._call(
            build_message, timeout_s, attempt_timeout_s=timeout_s, is_read=False
        )
        if not isinstance(reply, messages.ProposeReply):
            return reply
        if reply.verdict == outcome.Verdict.MAY_HAVE_RUN.value:
            return outcome.Lost(reason=reply.reason)
        if not reply.answer:
            return outcome.Lost(reason=reply.reason)
        return outcome.Answered(outcome.from_plain(json.loads(reply.answer)))

    async def query(self, kind, arguments, timeout_s):
        """Run a linearizable query against the state machine.

        Returns
        -------
        outcome.Answered
            Its value is a plain dict, or `outcome.Invalid` for a malformed query.
        outcome.Refused
            No leader with a quorum answered in time.
        """
        data = json.dumps(arguments).encode()

        def build_message(_remaining_s):
            return messages.Query(kind=kind, arguments=data)

        reply = await self._call(
            build_message, timeout_s, QUERY_ATTEMPT_TIMEOUT_S, is_read=True
        )
        if not isinstance(reply, messages.QueryReply):
            return reply
        if not reply.answer:
            return outcome.Answered(outcome.Invalid(problems=[["", reply.reason]]))
        return outcome.Answered(json.loads(reply.answer))

    async def poll(
        self, config_version, directory_version, queues_version=0, **transfer
    ):
        """Fetch the configuration and directory if there are newer versions.

        `transfer` are the fields of `messages.Poll` that ask for a part of the queues.

        The caller counts the age of the confirmation from before the call, since the
        reply may belong to the last of several attempts.

        Returns
        -------
        outcome.Answered
            Its value is a confirmed `messages.PollReply`.
        outcome.Refused
            No leader with a quorum answered in time.
        """

        def build_message(_remaining_s):
            return messages.Poll(
                name=self._hello.name,
                config_version=config_version,
                directory_version=directory_version,
                queues_version=queues_version,
                **transfer,
            )

        return self._to_answered(
            await self._call(
                build_message, POLL_TIMEOUT_S, POLL_ATTEMPT_TIMEOUT_S, is_read=True
            )
        )

    async def heartbeat(self, heartbeat, timeout_s):
        """Send an agent's heartbeat.

        Returns
        -------
        outcome.Answered
            Its value is a confirmed `messages.Directive`.
        outcome.Refused
            No leader with a quorum answered in time.
        """
        return self._to_answered(
            await self._call(lambda _: heartbeat, timeout_s, timeout_s, is_read=True)
        )

    async def report(self, build_report, timeout_s):
        """Send a `messages.WorkerReport`, which is built anew for each attempt.

        Returns
        -------
        outcome.Answered
            Its value is a confirmed `messages.WorkerOrders`.
        outcome.Refused
            No leader with a quorum answered in time.
        """
        return self._to_answered(
            await self._call(
                lambda _: build_report(),
                timeout_s,
                POLL_ATTEMPT_TIMEOUT_S,
                is_read=True,
            )
        )

    async def propose_idempotent(self, command, timeout_s):
        """Append an idempotent command to the replicated log, with retries.

        Like `propose`, but an attempt whose answer is lost is repeated, at another
        replica where there is one, until `timeout_s` has passed. The outcome is
        `Refused` only if no attempt can have run.
        """
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + timeout_s
        lost = None
        while (remaining_s := deadline_s - loop.time()) > 0:
            answer = await self.propose(
                command, min(remaining_s, PROPOSE_ATTEMPT_TIMEOUT_S)
            )
            if isinstance(answer, outcome.Answered):
                return answer
            if isinstance(answer, outcome.Lost):
                lost = answer
            await asyncio.sleep(min(RETRY_DELAY_S, max(deadline_s - loop.time(), 0)))
        return lost or outcome.Refused(reason="no leader in time")

    @staticmethod
    def _to_answered(reply):
        if isinstance(reply, _CONFIRMABLE_REPLIES):
            return outcome.Answered(reply)
        return reply

    async def _call(self, build_message, timeout_s, attempt_timeout_s, is_read):
        """Send a message to the leader, following redirects.

        Returns the final reply, or `outcome.Refused` or `outcome.Lost`.
        """
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + timeout_s
        reason = "no link to a replica"
        while (remaining_s := deadline_s - loop.time()) > 0:
            target = self._select_dialer()
            if target is None:
                await asyncio.sleep(min(RETRY_DELAY_S, remaining_s))
                continue
            message = build_message(remaining_s)
            try:
                exchange = target.link.open_exchange(message)
            except errors.LinkClosedError:
                self._clear_leader(target.address)
                continue
            try:
                reply = await exchange.receive(min(attempt_timeout_s, remaining_s))
            except (errors.LinkClosedError, TimeoutError) as error:
                is_late = isinstance(error, TimeoutError)
                self._record_attempt(message, TIMED_OUT if is_late else LINK_CLOSED)
                self._clear_leader(target.address)
                reason = str(error) or f"no answer from {target.address} in time"
                if not is_read:
                    return outcome.Lost(reason=reason)
                continue
            finally:
                exchange.close()
            is_final = _is_final(reply)
            self._record_attempt(message, ANSWERED if is_final else REDIRECTED)
            if is_final:
                self.leader = target.address
                return reply
            reason = reply.reason if hasattr(reply, "reason") else "not the leader"
            leader = getattr(reply, "leader", "")
            is_redirected = self._update_leader(target.address, leader)
            if not is_redirected:
                await asyncio.sleep(
                    min(RETRY_DELAY_S, max(deadline_s - loop.time(), 0))
                )
        return outcome.Refused(reason=reason)

    def _record_attempt(self, message, result):
        if self.on_attempt is not None:
            self.on_attempt(message, result)

    def _select_dialer(self):
        """Return a dialer with an open link, preferably to the leader, or None."""
        self._replace_unresponsive()
        leader = self._dialers_by_address.get(self.leader)
        if leader is not None and leader.is_open:
            return leader
        found = [d for d in self._dialers_by_address.values() if d.is_open]
        return random.choice(found) if found else None

    def _clear_leader(self, address):
        """Clear the known leader if it is the replica that did not answer."""
        if self.leader == address:
            self.leader = ""

    def _update_leader(self, replier, leader):
        """Set the leader that a replica named; return whether a link to it is open."""
        self.leader = leader
        if not leader:
            # A replica that knows no leader may be partitioned; try another replica.
            is_past_dial_timeout = (
                asyncio.get_running_loop().time() - self._dialed_at_s.get(replier, 0)
                > DIAL_TIMEOUT_S
            )
            if is_past_dial_timeout and replier in self._dialers_by_address:
                self._close_link(replier)
                self._open_missing_links()
            return False
        if leader != replier and leader not in self._dialers_by_address:
            if len(self._dialers_by_address) >= MAX_LINKS:
                self._close_link(
                    next(a for a in self._dialers_by_address if a != replier)
                )
            self._open_link(leader)
        redirect = self._dialers_by_address.get(leader)
        return leader != replier and redirect is not None and redirect.is_open


def _is_final(reply):
    """Return whether a reply ends the call rather than redirecting it."""
    if isinstance(reply, _CONFIRMABLE_REPLIES):
        return reply.confirmed
    return reply.verdict != outcome.Verdict.NOT_RUN.value
