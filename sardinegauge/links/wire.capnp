@0xd3a1f6c2b8e54790;
# Messages between the processes of one sardinegauge deployment. Every frame is one
# Envelope. Fields are only ever added at the end, so that processes of neighbouring
# versions understand each other during a rolling restart.

struct Envelope {
  correlation @0 :UInt64;  # Chosen by the initiator; 0 for one-way messages.
  isReply @1 :Bool;        # Set on frames from the responder of an exchange.
  union {
    ping @2 :Ping;
    hello @3 :Hello;
    voteRequest @4 :VoteRequest;
    voteReply @5 :VoteReply;
    appendRequest @6 :AppendRequest;
    appendReply @7 :AppendReply;
    snapshotChunk @8 :SnapshotChunk;
    snapshotReply @9 :SnapshotReply;
    staleMember @10 :StaleMember;
    joinRequest @11 :JoinRequest;
    joinReply @12 :JoinReply;
    propose @13 :Propose;
    proposeReply @14 :ProposeReply;
    query @15 :Query;
    queryReply @16 :QueryReply;
    poll @17 :Poll;
    pollReply @18 :PollReply;
    heartbeat @19 :Heartbeat;
    directive @20 :Directive;
    requestHead @21 :RequestHead;
    bodyChunk @22 :BodyChunk;
    bodyEnd @23 :BodyEnd;
    responseHead @24 :ResponseHead;
    credit @25 :Credit;
    abort @26 :Abort;
    refusal @27 :Refusal;
    keyQuery @28 :KeyQuery;
    keyReply @29 :KeyReply;
    timeoutNow @30 :TimeoutNow;
    workerReport @31 :WorkerReport;
    workerOrders @32 :WorkerOrders;
  }
}

struct Ping {
  sentMs @0 :UInt64;
}

struct Hello {
  role @0 :Text;      # "state", "entry", "agent" or "operator"
  name @1 :Text;
  identity @2 :Text;  # a replica's identity or an agent's incarnation
  address @3 :Text;   # ip:port on which the sender takes links, or empty
  protocol @4 :UInt16;
}

struct VoteRequest {
  term @0 :UInt64;
  candidate @1 :Text;
  lastIndex @2 :UInt64;
  lastTerm @3 :UInt64;
  preVote @4 :Bool;
}

struct VoteReply {
  term @0 :UInt64;
  voter @1 :Text;
  granted @2 :Bool;
  preVote @3 :Bool;
  lastIndex @4 :UInt64;
}

struct LogEntry {
  index @0 :UInt64;
  term @1 :UInt64;
  kind @2 :Text;   # "command", "members" or "noop"
  body @3 :Data;
}

struct MemberIndex {
  member @0 :Text;
  index @1 :UInt64;
}

struct AppendRequest {
  term @0 :UInt64;
  leader @1 :Text;
  prevIndex @2 :UInt64;
  prevTerm @3 :UInt64;
  entries @4 :List(LogEntry);
  commitIndex @5 :UInt64;
  readRound @6 :UInt64;
  acknowledged @7 :List(MemberIndex);
}

struct AppendReply {
  term @0 :UInt64;
  member @1 :Text;
  success @2 :Bool;
  matchIndex @3 :UInt64;
  conflictIndex @4 :UInt64;
  readRound @5 :UInt64;
  prevIndex @6 :UInt64;  # of the request answered, so that late refusals are known
  lastIndex @7 :UInt64;  # of the member's log, on a refusal
}

struct SnapshotChunk {
  term @0 :UInt64;
  leader @1 :Text;
  lastIndex @2 :UInt64;
  lastTerm @3 :UInt64;
  offset @4 :UInt64;
  total @5 :UInt64;
  data @6 :Data;
  readRound @7 :UInt64;
}

struct SnapshotReply {
  term @0 :UInt64;
  member @1 :Text;
  lastIndex @2 :UInt64;
  nextOffset @3 :UInt64;
  done @4 :Bool;
  readRound @5 :UInt64;
}

struct StaleMember {
  term @0 :UInt64;
  member @1 :Text;
  acknowledgedIndex @2 :UInt64;
}

struct TimeoutNow {
  term @0 :UInt64;
  leader @1 :Text;
}

struct JoinRequest {
  identity @0 :Text;
  name @1 :Text;
  address @2 :Text;
  failureDomain @3 :Text;
}

struct JoinReply {
  accepted @0 :Bool;
  leader @1 :Text;
  reason @2 :Text;
}

struct Propose {
  command @0 :Data;      # tagged JSON of a commands record
  deadlineMs @1 :UInt32; # time left, in milliseconds
}

struct ProposeReply {
  verdict @0 :Text;
  answer @1 :Data;  # tagged JSON of an outcome; empty unless the verdict is "ran"
  index @2 :UInt64;
  leader @3 :Text;  # address of the leader where known
  reason @4 :Text;
}

struct Query {
  kind @0 :Text;
  arguments @1 :Data;  # JSON object
}

struct QueryReply {
  verdict @0 :Text;
  answer @1 :Data;  # JSON
  leader @2 :Text;
  reason @3 :Text;
}

struct Poll {
  name @0 :Text;
  configVersion @1 :UInt64;
  directoryVersion @2 :UInt64;
  sequence @3 :UInt64;
  queuesVersion @4 :UInt64;
  queuesPartBytes @5 :UInt32;  # 0: all changes of the queues in one reply
  queuesTarget @6 :UInt64;  # version to which the changes lead that are being fetched
  queuesChecksum @7 :UInt32;  # CRC-32 of these changes
  queuesOffset @8 :UInt32;  # bytes of them that have arrived
}

struct Upstream {
  upstream @0 :Text;
  incarnation @1 :Text;
  address @2 :Text;
  failureDomain @3 :Text;
  rack @4 :Text;
  services @5 :List(Text);
  connections @6 :UInt32;
  draining @7 :Bool;
  removed @8 :Bool;
}

struct PollReply {
  confirmed @0 :Bool;  # whether a leader with a quorum vouches for the versions
  leader @1 :Text;
  configVersion @2 :UInt64;
  config @3 :Data;     # JSON, empty when unchanged
  directoryVersion @4 :UInt64;
  isFullDirectory @5 :Bool;
  directory @6 :List(Upstream);  # entries changed since the version polled with
  sequence @7 :UInt64;
  queuesVersion @8 :UInt64;
  queues @9 :Data;  # part of the compressed JSON of what changed
  replicas @10 :List(Text);  # addresses of the members
  backlog @11 :Data;  # JSON of the open work, empty while the leader has no summary
  refusalIndex @12 :UInt64;  # applied index while refusals are recorded, else 0
  queuesTarget @13 :UInt64;  # version to which the changes lead
  queuesChecksum @14 :UInt32;  # CRC-32 of all changes
  queuesOffset @15 :UInt32;  # position of this part
  queuesBytes @16 :UInt32;  # size of all changes
}

struct Room {
  cores @0 :Float64;
  memoryMb @1 :UInt64;
  accelerators @2 :UInt32;
  tasks @3 :UInt32;
  connections @4 :UInt32;
}

struct TaskReport {
  task @0 :Text;
  epoch @1 :UInt64;
  phase @2 :Text;       # "starting", "running", "stopping", "stopped", "finished", "failed", "refused"
  reason @3 :Text;
  checkpoint @4 :Text;
  cores @5 :Float64;    # used, as last reported by the worker
  memoryMb @6 :UInt64;
  progress @7 :Float64; # share of the work done, 0 to 1
  throttle @8 :Float64 = 1; # share of its cores the task may use, 1 when not throttled
}

struct ServiceLoad {
  service @0 :Text;
  requests @1 :UInt64;  # since the last heartbeat
  p50Ms @2 :Float64;
  p99Ms @3 :Float64;
  inFlight @4 :UInt32;
}

struct Heartbeat {
  upstream @0 :Text;
  incarnation @1 :Text;
  address @2 :Text;
  failureDomain @3 :Text;
  rack @4 :Text;
  services @5 :List(Text);
  room @6 :Room;
  draining @7 :Bool;
  configVersion @8 :UInt64;
  sequence @9 :UInt64;
  tasks @10 :List(TaskReport);
  loads @11 :List(ServiceLoad);
}

struct TaskOrder {
  task @0 :Text;
  epoch @1 :UInt64;
  action @2 :Text;       # "run", "evict" or "stop"
  tenant @3 :Text;
  job @4 :Text;
  taskClass @5 :Text;    # "latency_critical", "batch" or "urgent"
  cores @6 :Float64;
  memoryMb @7 :UInt64;
  accelerators @8 :UInt32;
  connections @9 :UInt32;
  command @10 :Text;
  checkpoint @11 :Text;
  throttle @12 :Float64 = 1;
}

struct Directive {
  confirmed @0 :Bool;
  leader @1 :Text;
  sequence @2 :UInt64;  # of the heartbeat answered; 0 for a push, which renews nothing
  leaseMs @3 :UInt32;
  configVersion @4 :UInt64;
  config @5 :Data;
  tasks @6 :List(TaskOrder);
  reason @7 :Text;
}

struct Header {
  name @0 :Text;
  value @1 :Text;
}

struct RequestHead {
  requestId @0 :Text;
  tenant @1 :Text;
  service @2 :Text;
  method @3 :Text;
  path @4 :Text;
  headers @5 :List(Header);
  deadlineMs @6 :UInt32;
  idempotent @7 :Bool;
  key @8 :Text;
  claimIndex @9 :UInt64;   # log index of the claim, 0 without a key
  incarnation @10 :Text;   # of the agent the entry means; another one refuses
  hasBody @11 :Bool;
}

struct BodyChunk {
  data @0 :Data;
}

struct BodyEnd {
  length @0 :UInt64;  # bytes of the whole body, so that a cut is noticed
}

struct ResponseHead {
  status @0 :UInt16;
  headers @1 :List(Header);
  inFlight @2 :UInt32;  # requests at the upstream, for the balancer
  queued @3 :UInt32;
}

struct Credit {
  size @0 :UInt32;  # further bytes the sender may send
}

struct Abort {
  verdict @0 :Text;
  reason @1 :Text;
}

struct Refusal {
  verdict @0 :Text;
  reason @1 :Text;
  retryAfterMs @2 :UInt32;
  draining @3 :Bool;
  inFlight @4 :UInt32;
}

struct KeyQuery {
  tenant @0 :Text;
  key @1 :Text;
  claimIndex @2 :UInt64;
  fence @3 :Bool;  # forbid the key from ever running under this claim
  incarnation @4 :Text;  # of the claim; another one answers "cut"; empty: not checked
}

struct KeyReply {
  state @0 :Text;  # "unknown", "running", "finished", "fenced" or "cut"
  status @1 :UInt16;
  headers @2 :List(Header);
  body @3 :Data;
  isBodyKept @4 :Bool;
}

struct WorkerReport {
  agent @0 :Text;
  worker @1 :Text;     # empty while no worker has announced itself
  life @2 :UInt64;     # when the worker started, tells its lives apart
  sequence @3 :UInt64;
  sentMs @4 :UInt64;   # the agent's clock, comes back in the reply
  body @5 :Data;       # JSON of the fields of a report
  isLeaseWanted @6 :Bool;
}

struct WorkerOrders {
  confirmed @0 :Bool;
  leader @1 :Text;
  worker @2 :Text;
  life @3 :UInt64;
  term @4 :UInt64;
  sequence @5 :UInt64;
  sentMs @6 :UInt64;   # of the report answered; 0 for a push
  grantMs @7 :UInt32;  # leases may last until sentMs + grantMs; 0 renews nothing
  replicas @8 :List(Text);
  body @9 :Data;       # JSON of the orders
}
