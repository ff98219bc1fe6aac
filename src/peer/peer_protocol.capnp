@0xd3a5f2c8b1e64a97;
# Messages between entry instances. Field numbers never change; new fields are appended.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("cassiahub::peer_protocol");

struct JobKey {
  tenant @0 :Text;
  homeDomain @1 :Text;
  key @2 :Text;
}

struct AttemptId {
  incarnation @0 :UInt64;
  serial @1 :UInt64;
}

struct Resources {
  millicores @0 :UInt32;
  memoryMib @1 :UInt32;
  accelerators @2 :UInt32;
}

struct FencingToken {
  shard @0 :Text;
  epoch @1 :UInt64;
}

struct TaskSpec {
  payload @0 :Data;
  demand @1 :Resources;
  declaredRunTimeNs @2 :Int64;
}

struct JobSpec {
  key @0 :JobKey;
  kind @1 :Text;
  timeLimitNs @2 :Int64;
  tasks @3 :List(TaskSpec);
}

struct JobAnswer {
  errorCode @0 :Int32;      # job_errc, 0 for none
  ran @1 :UInt8;            # run_state
  retryAfterNs @2 :Int64;
  results @3 :List(Data);
}

struct ForwardRequest {
  request @0 :UInt64;
  operation @1 :UInt8;      # key_operation
  spec @2 :JobSpec;
}

struct RequestAnswered {
  request @0 :UInt64;
  answer @1 :JobAnswer;
}

struct ForwardTask {
  attempt @0 :AttemptId;
  job @1 :JobKey;
  task @2 :UInt32;
  kind @3 :Text;
  payload @4 :Data;
  demand @5 :Resources;
  token @6 :FencingToken;
  deadlineNs @7 :Int64;     # on the receiver's boot clock
  sendBeforeNs @8 :Int64;   # on the receiver's boot clock
  generation @9 :UInt64;
  service @10 :Text;        # of the kind, at the sender
}

struct TaskReported {
  attempt @0 :AttemptId;
  outcome @1 :UInt8;        # attempt_outcome
  payload @2 :Data;
  lostAtStart @3 :Bool;
}

struct PeerLoad {
  freeSlots @0 :UInt32;
  queuedTasks @1 :UInt32;
  largestFree @2 :Resources;
  service @3 :Text;         # empty: upstreams that name no service
}

struct ShardHolding {
  shard @0 :UInt32;
  epoch @1 :UInt64;
}

struct PairEvidence {
  kind @0 :UInt8;           # index in InterferenceSummary.kinds
  neighbour @1 :UInt8;      # as kind; the kind that runs beside it
  weight @2 :Float32;
  exposure @3 :Float32;
  effect @4 :Float32;
  square @5 :Float32;
  contrasts @6 :Float32;
  ageNs @7 :Int64;          # time since the last contrast
}

struct InterferenceSummary {
  sequence @0 :UInt64;
  kinds @1 :List(Text);
  pairs @2 :List(PairEvidence);
}

struct Heartbeat {
  incarnation @0 :UInt64;
  domain @1 :Text;
  peerAddress @2 :Text;
  sentAtNs @3 :Int64;       # on the sender's boot clock
  configurationVersion @4 :UInt64;
  leaving @5 :Bool;
  storeContact @6 :Bool;
  holdings @7 :List(ShardHolding);
  load @8 :PeerLoad;
  heldUpstreams @9 :List(Text);
  fleetClockMs @10 :Int64;  # clock of the store at sentAtNs; 0: not known
  selected @11 :Bool;       # the sender has selected the receiver as its partner
  otherLoads @12 :List(PeerLoad);
  # `load` is that of the sender's first service, these are those of its other ones.
  drainsVersion @13 :UInt64; # of the drained domains known to the sender; 0: not known
  takesDrains @14 :Bool;     # the sender takes drainedDomainsNotice
  interference @15 :InterferenceSummary;
  requestsConfiguration @16 :Bool;
  # The sender asks for documents with configurationRequest and answers such requests.
  drainingUpstreams @17 :List(UpstreamIdentity);
  # Upstreams of the receiver that drain by the registrations that the sender has read.
}

struct UpstreamIdentity {
  name @0 :Text;
  incarnation @1 :UInt64;
}

struct KeyNotice {
  request @0 :UInt64;
  shard @1 :UInt32;
  keys @2 :List(JobKey);
}

struct ConfigurationNotice {
  version @0 :UInt64;
  document @1 :Text;
}

struct DrainedDomainsNotice {
  version @0 :UInt64;       # of the store
  domains @1 :List(Text);
}

struct TaskIdentity {
  tenant @0 :Text;
  job @1 :Text;             # key of the job
  task @2 :UInt32;
}

struct LossNotice {
  upstream @0 :Text;
  incarnation @1 :UInt64;   # of the upstream; 0: not known
  fate @2 :UInt8;           # upstream_fate
  ageNs @3 :Int64;          # time since the loss
  tasks @4 :List(TaskIdentity);
}

struct Message {
  union {
    forwardRequest @0 :ForwardRequest;
    requestAnswered @1 :RequestAnswered;
    forwardTask @2 :ForwardTask;
    taskReported @3 :TaskReported;
    cancelTask @4 :AttemptId;
    heartbeat @5 :Heartbeat;
    loadReport @6 :PeerLoad;
    keyNotice @7 :KeyNotice;
    keyNoticeReceived @8 :UInt64;
    configurationNotice @9 :ConfigurationNotice;
    lossNotice @10 :LossNotice;
    capacityRequest @11 :Text;  # name of a service
    drainedDomainsNotice @12 :DrainedDomainsNotice;
    configurationRequest @13 :UInt64; # version of the configuration that the sender has
  }
}

struct Open {
  secret @0 :Data;
  instance @1 :Text;
  incarnation @2 :UInt64;
  target @3 :Text;
  # The instance that the sender wants to reach: the address of a replaced instance may
  # belong to another one by now.
}

struct Batch {
  messages @0 :List(Message);
  acknowledge @1 :Bool;
  # Asks for a `received` frame.
}

struct Frame {
  # A connection carries frames, each a Cap'n Proto message in the standard stream framing.
  # The instance that has connected sends `open`, and batches once it has got `opened`. The
  # other one closes the connection instead when it does not accept `open` or a batch.
  union {
    open @0 :Open;
    opened @1 :Void;
    batch @2 :Batch;
    received @3 :UInt64;
    # Number of batches received on this connection; confirms receipt, not processing.
  }
}
