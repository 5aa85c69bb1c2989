"""Client of the replicated state for entries, agents and the command line."""

import asyncio
import json
import random

from sardinegauge import commands, errors, outcome
from sardinegauge.links import link, messages

# A leader that is frozen or cut off answers nothing; the others are asked then.
POLL_ATTEMPT_S = 0.4
QUERY_ATTEMPT_S = 1.0
# A commit takes some ten milliseconds; a leader that was frozen takes none.
PROPOSE_ATTEMPT_S = 0.7
POLL_LIMIT_S = 1.0
RETRY_S = 0.05
# The leader, and one more to ask when it fails.
MAX_LINKS = 2
# An address without an answer for this long is exchanged for another one.
DIAL_PATIENCE_S = 0.4

# Replies that say themselves whether a leader with a quorum stands behind them.
_CONFIRMED = (messages.PollReply, messages.Directive, messages.WorkerOrders)


class StateClient(link.Handler):
    """Keeps links to the leader and one other replica, and follows the leader.

    Each call returns a tagged outcome: `outcome.Answered` with the value,
    `outcome.Refused` if the request certainly did not run, or `outcome.Lost` if its
    answer was lost.

    Parameters
    ----------
    addresses : list of str
        ``ip:port`` of the replicas.
    hello : messages.Hello
        Sent on each link.
    on_push : callable or None
        Called with each message that a replica sends outside an exchange.

    Examples
    --------
    ::

        client = StateClient(["10.0.0.1:7000"], messages.Hello(role="entry"))
        client.start()
        answer = await client.query("configuration", {}, timeout_s=2)
    """

    def __init__(self, addresses, hello, on_push=None):
        self.on_push = on_push
        self.leader = ""
        self._hello = hello
        self._addresses = list(addresses)
        self._configured = list(addresses)
        self._dialers_by_address = {}
        self._dialed_s = {}
        self._is_started = False

    def start(self):
        """Begin to connect."""
        self._is_started = True
        random.shuffle(self._addresses)
        self._fill()

    def stop(self):
        """Close all links."""
        self._is_started = False
        for dialer in self._dialers_by_address.values():
            dialer.stop()

    def learn(self, members):
        """Use the members that the leader named, besides the configured addresses."""
        wanted = dict.fromkeys([*members, *self._configured])
        self._addresses = [a for a in self._addresses if a in wanted]
        self._addresses += [a for a in wanted if a not in self._addresses]

    def configure(self, addresses):
        """Use other configured addresses, as after a change of the settings."""
        self._configured = list(addresses)
        self._addresses += [a for a in addresses if a not in self._addresses]

    def _fill(self):
        """Dial further addresses while there are fewer links than wanted."""
        if not self._is_started:
            return
        for address in list(self._addresses):
            if len(self._dialers_by_address) >= MAX_LINKS:
                return
            if address not in self._dialers_by_address:
                self._dial(address)

    def _dial(self, address):
        dialer = link.Dialer(address, self, self._hello)
        self._dialers_by_address[address] = dialer
        self._dialed_s[address] = asyncio.get_running_loop().time()
        dialer.start()

    def _drop(self, address):
        """Close the link to an address, which is dialed again after all others."""
        self._dialers_by_address.pop(address).stop()
        del self._dialed_s[address]
        if address in self._addresses:
            self._addresses.remove(address)
            self._addresses.append(address)

    def _rotate(self):
        """Try other addresses in place of those that don't answer."""
        now_s = asyncio.get_running_loop().time()
        for address, dialer in list(self._dialers_by_address.items()):
            is_tried = now_s - self._dialed_s[address] > DIAL_PATIENCE_S
            if not dialer.is_open and is_tried:
                self._drop(address)
        self._fill()

    def on_message(self, link, message):
        """Pass on a push."""
        if self.on_push is not None:
            self.on_push(message)

    def on_exchange(self, exchange, message):
        """Close an exchange; replicas open none."""
        exchange.close()

    async def propose(self, command, timeout_s):
        """Put a command into the log and wait until it was applied.

        Parameters
        ----------
        command : commands.Command or dict
            A record of `commands`, or the tagged dict of a membership change.
        timeout_s : float
            Time for all attempts, in seconds.

        Returns
        -------
        outcome.Answered
            Its value is the machine's answer, such as `outcome.Accepted`.
        outcome.Refused
            The command did not run and never will.
        outcome.Lost
            It may have run; commands with a request id can be proposed again.
        """
        if isinstance(command, dict):
            body = json.dumps(command).encode()
        else:
            body = commands.REGISTRY.dumps(command)

        def make(left_s):
            return messages.Propose(command=body, deadline_ms=int(left_s * 1000))

        reply = await self._call(make, timeout_s, attempt_s=timeout_s, is_read=False)
        if not isinstance(reply, messages.ProposeReply):
            return reply
        if reply.verdict == outcome.Verdict.MAY_HAVE_RUN.value:
            return outcome.Lost(reason=reply.reason)
        if not reply.answer:
            return outcome.Lost(reason=reply.reason)
        return outcome.Answered(outcome.from_plain(json.loads(reply.answer)))

    async def query(self, kind, arguments, timeout_s):
        """Read the machine linearizably.

        Returns
        -------
        outcome.Answered
            Its value is a plain dict, or `outcome.Invalid` for a wrong query.
        outcome.Refused
            No leader with a quorum answered in time.
        """
        data = json.dumps(arguments).encode()

        def make(_left_s):
            return messages.Query(kind=kind, arguments=data)

        reply = await self._call(make, timeout_s, QUERY_ATTEMPT_S, is_read=True)
        if not isinstance(reply, messages.QueryReply):
            return reply
        if not reply.answer:
            return outcome.Answered(outcome.Invalid(problems=[["", reply.reason]]))
        return outcome.Answered(json.loads(reply.answer))

    async def poll(self, config_version, directory_version, queues_version=0):
        """Ask for newer configuration and directory.

        The caller counts its evidence from before the call, since a poll that had to
        be repeated was answered for the last attempt.

        Returns
        -------
        outcome.Answered
            Its value is a confirmed `messages.PollReply`.
        outcome.Refused
            No leader with a quorum answered in time.
        """

        def make(_left_s):
            return messages.Poll(
                name=self._hello.name,
                config_version=config_version,
                directory_version=directory_version,
                queues_version=queues_version,
            )

        return self._answered(
            await self._call(make, POLL_LIMIT_S, POLL_ATTEMPT_S, is_read=True)
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
        return self._answered(
            await self._call(lambda _: heartbeat, timeout_s, timeout_s, is_read=True)
        )

    async def report(self, report, timeout_s):
        """Send a `messages.WorkerReport`.

        Returns
        -------
        outcome.Answered
            Its value is a confirmed `messages.WorkerOrders`.
        outcome.Refused
            No leader with a quorum answered in time.
        """
        return self._answered(
            await self._call(lambda _: report, timeout_s, POLL_ATTEMPT_S, is_read=True)
        )

    async def propose_idempotent(self, command, timeout_s):
        """Put a command into the log that may be applied several times.

        Like `propose`, but an attempt whose answer is lost is repeated at another
        replica while there is time. The outcome is `Refused` only if no attempt can
        have run.
        """
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout_s
        lost = None
        while (left_s := deadline - loop.time()) > 0:
            answer = await self.propose(command, min(left_s, PROPOSE_ATTEMPT_S))
            if isinstance(answer, outcome.Answered):
                return answer
            if isinstance(answer, outcome.Lost):
                lost = answer
            await asyncio.sleep(min(RETRY_S, max(deadline - loop.time(), 0)))
        return lost or outcome.Refused(reason="no leader in time")

    @staticmethod
    def _answered(reply):
        if isinstance(reply, _CONFIRMED):
            return outcome.Answered(reply)
        return reply

    async def _call(self, make, timeout_s, attempt_s, is_read):
        """Ask the leader, following redirects; return its reply or an outcome."""
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout_s
        reason = "no link to a replica"
        while (left_s := deadline - loop.time()) > 0:
            target = self._choose()
            if target is None:
                await asyncio.sleep(min(RETRY_S, left_s))
                continue
            try:
                exchange = target.link.open_exchange(make(left_s))
            except errors.LinkClosedError:
                self._doubt(target.address)
                continue
            try:
                reply = await exchange.receive(min(attempt_s, left_s))
            except (errors.LinkClosedError, TimeoutError) as error:
                self._doubt(target.address)
                reason = str(error) or f"no answer from {target.address} in time"
                if not is_read:
                    return outcome.Lost(reason=reason)
                continue
            finally:
                exchange.close()
            if _is_final(reply):
                self.leader = target.address
                return reply
            reason = reply.reason if hasattr(reply, "reason") else "not the leader"
            leader = getattr(reply, "leader", "")
            is_elsewhere = self._follow(target.address, leader)
            if not is_elsewhere:
                await asyncio.sleep(min(RETRY_S, max(deadline - loop.time(), 0)))
        return outcome.Refused(reason=reason)

    def _choose(self):
        """Return the dialer of the leader, or of any replica with a link."""
        self._rotate()
        leader = self._dialers_by_address.get(self.leader)
        if leader is not None and leader.is_open:
            return leader
        found = [d for d in self._dialers_by_address.values() if d.is_open]
        return random.choice(found) if found else None

    def _doubt(self, address):
        """Forget a leader that did not answer."""
        if self.leader == address:
            self.leader = ""

    def _follow(self, asked, leader):
        """Note the leader that a replica named; tell if a link to it stands."""
        self.leader = leader
        if not leader:
            # A replica without a leader may be cut off; another one is asked next.
            is_tried = (
                asyncio.get_running_loop().time() - self._dialed_s.get(asked, 0)
                > DIAL_PATIENCE_S
            )
            if is_tried and asked in self._dialers_by_address:
                self._drop(asked)
                self._fill()
            return False
        if leader != asked and leader not in self._dialers_by_address:
            if len(self._dialers_by_address) >= MAX_LINKS:
                self._drop(next(a for a in self._dialers_by_address if a != asked))
            self._dial(leader)
        known = self._dialers_by_address.get(leader)
        return leader != asked and known is not None and known.is_open


def _is_final(reply):
    """Tell whether a reply ends the call, rather than naming another replica."""
    if isinstance(reply, _CONFIRMED):
        return reply.confirmed
    return reply.verdict != outcome.Verdict.NOT_RUN.value
