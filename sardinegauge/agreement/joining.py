"""How a replica that is no member, or hears no leader, asks to become one."""

from sardinegauge import background, errors
from sardinegauge.agreement import raftstate
from sardinegauge.links import messages

INTERVAL_S = 0.5
TIMEOUT_S = 1.0
# A member without a leader for this long asks whether it still is a member.
LEADERLESS_MS = 3000
# Addresses of leaders that others named, the newest ones.
MAX_ADDRESSES = 8


class Joiner:
    """Asks over all links between replicas, and learns the leader's address.

    Parameters
    ----------
    app : stateapp.StateApplication
    """

    def __init__(self, app):
        self.app = app
        self.addresses = []
        self._answer = None

    @property
    def _is_needed(self):
        state = self.app.state.raft
        if state.role == raftstate.LEADER:
            return False
        known = state.members.get(state.identity)
        if known is None or known.address != self.app.address:
            return True
        return state.now_ms - state.leader_contact_ms > LEADERLESS_MS

    async def ask(self, now_ms):
        """Ask for membership while there is none, as far as known here."""
        if not self._is_needed:
            return
        request = messages.JoinRequest(
            identity=self.app.state.raft.identity,
            name=self.app.config.name,
            address=self.app.address,
            failure_domain=self.app.config.failure_domain,
        )
        # Links that members opened count as well: the seeds may all be outdated.
        link_by_peer = {peer.peer.identity: peer for peer in self.app.replica_links}
        for peer in link_by_peer.values():
            background.spawn(self._ask(peer, request))

    async def _ask(self, peer, request):
        try:
            reply = await peer.request(request, TIMEOUT_S)
        except (errors.LinkClosedError, TimeoutError):
            return
        if reply.leader and reply.leader not in self.addresses:
            self.addresses.append(reply.leader)
            del self.addresses[:-MAX_ADDRESSES]
            self.app.match_dialers()
        answer = (reply.accepted, reply.leader)
        # Followers that know no leader answer as well and tell nothing new.
        if answer != self._answer and reply.leader:
            self._answer = answer
            self.app.log.info(
                "join_answered", accepted=reply.accepted, leader=reply.leader
            )
