@0xd2b1c7f3a94e6051;
# Protocol between lovagedock's own processes, version 1.
#
# A gateway opens sessions to the sidecars of its endpoints and to other gateways. Request ids are
# 16 bytes, big endian. Times are remaining milliseconds, never wall-clock times.

struct RequestKey {
  # Names one attempt of one request at one life of a sidecar.
  high @0 :UInt64;
  low @1 :UInt64;
  attempt @2 :UInt32;
  incarnation @3 :UInt64;
}

struct PeerHello {
  version @0 :UInt32;
  name @1 :Text;
  # Between gateway and sidecar, a space and the name of the fleet may follow the process's name.
  incarnation @2 :UInt64;
  generation @3 :UInt64;
}

struct PeerWelcome {
  version @0 :UInt32;
  name @1 :Text;
  # As in PeerHello; with the name of the fleet only if the hello has one, since older gateways
  # compare the whole text with the endpoint's name.
  incarnation @2 :UInt64;
  generation @3 :UInt64;
}

struct HeaderField {
  name @0 :Text;
  value @1 :Data;
}

struct SpanHolder {
  # One engine's part of a prompt that is larger than any engine.
  locator @0 :Text;
  # What the engine called itself when it prefilled the part.
  tokens @1 :UInt64;
}

struct WorkOrder {
  # One request as the sidecar needs it.
  key @0 :RequestKey;
  service @1 :Text;
  organisation @2 :Text;
  tier @3 :UInt8;
  # 0 batch, 1 standard, 2 interactive.
  remainingMs @4 :UInt64;
  promptTokens @5 :UInt64;
  # Estimate of the gateway; the engine's own count goes before it.
  answerTokens @6 :UInt64;
  # Upper bound asked for by the caller.
  weight @7 :UInt32;
  nonIdempotent @8 :Bool;
  method @9 :Text;
  path @10 :Text;
  headers @11 :List(HeaderField);
  body @12 :Data;
  span @13 :List(SpanHolder);
  # Engines that hold parts of the prompt, in the order of the prompt; empty for a request that
  # fits one engine.
  predictedMs @14 :UInt64;
  # First-token time that the gateway predicted.
}

struct AnswerEnd {
  # How a request ended. `code` is a number of the result-code table.
  code @0 :UInt16;
  length @1 :UInt64;
  # Bytes of the whole answer.
  digest @2 :Data;
  # BLAKE3 of the whole answer; empty unless complete.
  ran @3 :UInt8;
  # 0 no, 1 yes, 2 unknown.
  retryAfterMs @4 :UInt64;
  detail @5 :Text;
  promptTokens @6 :UInt64;
  cachedTokens @7 :UInt64;
  answerTokens @8 :UInt64;
  engineEnded @9 :Bool;
  # Whether the engine's process ended while it had the request.
}

struct AnswerHead {
  status @0 :UInt16;
  headers @1 :List(HeaderField);
}

enum RevokeVerdict {
  revoked @0;
  # It did not run and never will: a tombstone stands in its place.
  running @1;
  ended @2;
  otherLife @3;
  # The named life of the sidecar is over; nobody can tell.
}

struct LoadReport {
  # What a sidecar knows of itself and its engine; sent with each heartbeat.
  sequence @0 :UInt64;
  state @1 :UInt8;
  # 0 serving, 1 leaving, 2 engine down.
  memoryTokens @2 :UInt64;
  freeTokens @3 :UInt64;
  queued @4 :UInt32;
  queuedTokens @5 :UInt64;
  running @6 :UInt32;
  runningLong @7 :UInt32;
  prefillTokensLeft @8 :UInt64;
  prefillNsPerToken @9 :Float64;
  # Learned; 0 while unknown.
  prefillNsPerTokenSquared @10 :Float64;
  decodeNs @11 :Float64;
  # Learned interval between tokens.
  generation @12 :UInt64;
  # Configuration in force at the sidecar.
  cachedPrefixes @13 :List(UInt64);
  # Hashes of prompt prefixes that the engine lately held; preference only.
  backlogAllUs @14 :UInt64;
  # Predicted microseconds until a long prompt that comes now would begin.
  backlogShortUs @15 :UInt64;
  # The same for a short prompt, which overtakes long ones.
}

struct Artifact {
  # A model or an adapter in a version.
  id @0 :Text;
  version @1 :Text;
  # Empty: any version, or one that nobody knows.
}

struct LeasedOrder {
  # An order to an engine, with the lease that gives the right to it.
  pool @0 :Text;
  epoch @1 :UInt64;
  # Fencing number of the lease.
  sequence @2 :UInt64;
  # Counts the orders of one holder.
  generation @3 :UInt64;
  # Configuration that the order follows from.
  kind @4 :UInt8;
  # 0 announce the epoch and look, 1 load a model, 2 load an adapter.
  artifact @5 :Artifact;
}

struct OrderReply {
  code @0 :UInt16;
  # A number of the result-code table.
  detail @1 :Text;
  highest @2 :UInt64;
  # Highest fencing number that this life of the sidecar has seen for the pool; 0 for none.
  busy @3 :Bool;
  # Whether the engine is carrying an order out.
  known @4 :Bool;
  # Whether it is known what is loaded.
  model @5 :Artifact;
  adapters @6 :List(Artifact);
  unsettled @7 :Bool;
  # Whether the last load of a model began and is not known to have succeeded.
}

interface AnswerSink {
  # Given by a gateway with a submit; called by the sidecar in order.
  head @0 (head :AnswerHead);
  chunk @1 (offset :UInt64, bytes :Data) -> stream;
  done @2 (end :AnswerEnd);
}

interface EndpointSession {
  # What a sidecar offers to a gateway.
  hello @0 (hello :PeerHello) -> (welcome :PeerWelcome);
  submit @1 (order :WorkOrder, sink :AnswerSink) -> (accepted :Bool, refusal :AnswerEnd);
  # Answers as soon as the request is queued or refused; the answer itself goes to the sink.
  resume @2 (key :RequestKey, offset :UInt64, sink :AnswerSink) -> (found :Bool);
  revoke @3 (key :RequestKey) -> (verdict :RevokeVerdict);
  cancel @4 (key :RequestKey);
  heartbeat @5 (sequence :UInt64, generation :UInt64) -> (report :LoadReport);
  configure @6 (generation :UInt64, config :Data) -> (generation :UInt64);
  # Configuration relay: heartbeats tell who lacks a generation.
  reserve @7 (key :RequestKey, tokens :UInt64, holdMs :UInt64) -> (granted :Bool, freeTokens :UInt64);
  # Memory for one part of a span; it lapses by itself after holdMs without renewal.
  release @8 (key :RequestKey);
  segment @9 (order :WorkOrder, start :UInt64, tokens :UInt64) -> (end :AnswerEnd, locator :Text);
  # Prefills one part of a span into reserved memory.
  drain @10 (leaving :Bool) -> (inFlight :UInt32);
  order @11 (order :LeasedOrder) -> (reply :OrderReply);
  # Answers when the engine is done with the order, which may take minutes.
}

interface PeerSession {
  # What a gateway offers to another gateway.
  hello @0 (hello :PeerHello) -> (welcome :PeerWelcome);
  push @1 (bundle :Data) -> (generation :UInt64);
  # What the receiver lacks of a configuration; the answer tells what it has now.
  offer @2 (generation :UInt64);
  # Tells what the caller has; a receiver that has less asks for it.
  pull @3 (above :UInt64) -> (generation :UInt64, bundle :Data);
  # What this gateway has, and what a caller at the given generation lacks; no bundle when that is
  # nothing.
  usage @4 (report :UsageReport) -> (ack :UsageAck);
  # What organisations use at the calling gateway.
  suspects @5 (news :List(SuspectNews));
  # What the calling gateway has found out of requests that end engines.
  parts @6 (news :List(PartNews));
  # The same of parts of prompts.
}

struct PartNews {
  # News of parts of prompts that end engines.
  parts @0 :List(UInt64);
  union {
    ended @1 :List(PartEndNews);
    # An engine's process ended under a request with the parts, before it answered.
    answeredMs @2 :UInt64;
    # An engine answered a request with the part; time since then.
    trial :group {
      # The sender sends a request with the parts to find out whether they end engines.
      rank @3 :UInt64;
      leftMs @4 :UInt64;
      request @7 :UInt64;
    }
    quarantined :group {
      # Requests with the part are not sent to engines for as long.
      leftMs @5 :UInt64;
      ends @6 :List(PartEndNews);
    }
  }
}

struct PartEndNews {
  # A process that ended under a request.
  process @0 :UInt64;
  request @1 :UInt64;
  certain @2 :Bool;
  ranMs @3 :UInt64;
  # Time from sending the request to the end.
  ageMs @4 :UInt64;
  # Time since the end.
  trial @5 :Bool;
  # Whether the request was sent to find out whether its parts end engines.
}

struct SuspectNews {
  # News of one request; `fingerprint` is the same for all that ask the same.
  fingerprint @0 :UInt64;
  union {
    ended :group {
      # An engine's process ended under it.
      process @1 :UInt64;
      certain @2 :Bool;
    }
    served @3 :Void;
    quarantinedMs @4 :UInt64;
    # It is not sent to engines for as long.
  }
}

struct UsageEntry {
  # What one organisation wants at one gateway; absolute values.
  organisation @0 :Text;
  requests @1 :UInt64;
  tokens @2 :UInt64;
  inFlight @3 :UInt32;
}

struct UsageReport {
  sequence @0 :UInt64;
  base @1 :UInt64;
  # Report that the entries are changes to; 0 for a whole one.
  stage @2 :UInt8;
  # How the sender computes its shares.
  entries @3 :List(UsageEntry);
}

struct UsageAck {
  sequence @0 :UInt64;
  stage @1 :UInt8;
}
