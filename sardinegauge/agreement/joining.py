"""Join requests of a replica that is not a member or has lost its leader."""

from sardinegauge import background, errors
from sardinegauge.agreement import raftstate
from sardinegauge.links import messages

INTERVAL_S = 0.5
TIMEOUT_S = 1.0
# A member without contact to a leader for this long, or for as long as it takes to be
# replaced, requests membership again, as it may have been removed from the group.
LEADERLESS_MS = 3000
# Limit of the leader addresses learned from replies; the oldest is dropped first.
MAX_ADDRESSES = 8


def is_needed(state, address):
    """Return whether a replica has to request membership of its group.

    Not needed for a leader, and for a member under its current address that is in
    contact with a leader.

    Parameters
    ----------
    state : raftstate.State
    address : str
        Address of the replica.
    """
    if state.role == raftstate.LEADER:
        return False
    member = state.members.get(state.identity)
    if member is None or member.address != address:
        return True
    limit_ms = min(LEADERLESS_MS, state.replacement_ms)
    return state.now_ms - state.leader_contact_ms > limit_ms


class Joiner:
    """Requests membership from all linked replicas and learns the leader's address.

    Parameters
    ----------
    app : stateapp.StateApplication
    """

    def __init__(self, app):
        self.app = app
        self.leader_addresses = []
        self._last_answer = None

    async def request_membership(self, now_ms):
        """Send a join request to all linked replicas if one is needed."""
        if not is_needed(self.app.state.raft, self.app.address):
            return
        request = messages.JoinRequest(
            identity=self.app.state.raft.identity,
            name=self.app.config.name,
            address=self.app.address,
            failure_domain=self.app.config.failure_domain,
        )
        # Links that other replicas opened are used too, since the configured addresses
        # of peers may all be outdated.
        link_by_identity = {
            link.peer.identity: link for link in self.app.replica_links.open_links
        }
        for link in link_by_identity.values():
            background.spawn(self._send_request(link, request))

    async def _send_request(self, link, request):
        try:
            reply = await link.request(request, TIMEOUT_S)
        except (errors.LinkClosedError, TimeoutError):
            return
        if reply.leader and reply.leader not in self.leader_addresses:
            self.leader_addresses.append(reply.leader)
            del self.leader_addresses[:-MAX_ADDRESSES]
            self.app.update_dialers()
        answer = (reply.accepted, reply.leader)
        # A reply without a leader carries no information.
        if answer != self._last_answer and reply.leader:
            self._last_answer = answer
            self.app.log.info(
                "join_answered", accepted=reply.accepted, leader=reply.leader
            )
