#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

namespace banyanlane::link {

/// Version of the messages in this file. Peers with another version are
/// refused.
inline constexpr std::uint64_t kProtocolVersion = 5;

/// Outcome of one attempt at a request.
enum class Outcome : std::uint64_t {
  kCompleted = 0,
  kNotRun = 1,   ///< The work provably never ran and never will.
  kUnknown = 2,  ///< The work may have run, partly or completely.
};

/// Why an agent or an entry refused or ended an attempt.
enum class Reason : std::uint64_t {
  kNone = 0,
  kLeaving = 1,  ///< The agent refuses new work because it is leaving.
  /// The agent's request queue or its ledger of idempotency keys is full.
  kFull = 2,
  kExpired = 3,  ///< The attempt did not start by its `start_by_ms`.
  kRevoked = 4,
  kUnknownProfile = 5,
  /// The idempotency key is missing or invalid, or was issued by another agent
  /// or incarnation.
  kWrongIncarnation = 6,
  kKeyConflict = 7,
  kKeyExpired = 8,  ///< The idempotency key is past its lifetime.
  /// The endpoint is not up, or the request could not be sent to it.
  kEndpointDown = 9,
  /// The request may have reached the endpoint, but there is no complete
  /// response.
  kEndpointFailed = 10,
  kQuarantined = 11,
  /// The agent holds no response of this id for the caller's organisation.
  kNotFound = 12,
  kOffsetGone = 13,
  kCancelled = 14,
  kAnswerTooLarge = 15,
  kOrganisationLimit = 16,
  kNoEndpoint = 17,
  kLinkLost = 18,
  kDeadline = 19,  ///< The deadline passed before the attempt completed.
  kRetryBudget = 20,
  kStopping = 21,
  /// The work of the idempotency key was reported as not run, so the key can't
  /// be used again.
  kKeySpent = 22,
};

/// First message in both directions of a link.
struct Hello {
  std::uint64_t protocol = kProtocolVersion;
  std::string role;  ///< "agent", "entry", "gateway" or "rank".
  std::string node;  ///< Id of the sending process.
  std::uint64_t incarnation = 0;
  std::string failure_domain;
  std::string service;         ///< Agents only: the service of their endpoint.
  std::uint64_t revision = 0;  ///< Configuration revision in use at the sender.
  std::uint64_t era = 0;       ///< Era of that revision; see ConfigVersion.
  bool confirmed = false;      ///< Whether that revision is confirmed.
  std::uint64_t list_version = 0;  ///< Version of the sender's instance list.
  std::uint64_t clock_ms = 0;  ///< Agents only: milliseconds since their start.
  bool leaving = false;

  template <typename Visitor>
  void Visit(Visitor& visit) {
    visit(this->protocol, this->role, this->node, this->incarnation,
          this->failure_domain, this->service, this->revision, this->era,
          this->confirmed, this->list_version, this->clock_ms, this->leaving);
  }
};

/// Sent at regular intervals on each link. Carries the sender's state.
struct Heartbeat {
  std::uint64_t revision = 0;
  std::uint64_t era = 0;
  bool confirmed = false;
  std::uint64_t list_version = 0;
  /// Gateways only: milliseconds, at least 1, since the store last responded to
  /// the sender, or to a process that the sender has heard of, with changes of
  /// the configuration or without any. 0 if unknown.
  std::uint64_t config_contact_ms = 0;
  /// Like `config_contact_ms`, for the instance list.
  std::uint64_t list_contact_ms = 0;
  /// This and the following fields are set only by agents. Milliseconds since
  /// the agent started.
  std::uint64_t clock_ms = 0;
  bool leaving = false;
  bool endpoint_up = true;
  std::uint64_t running = 0;  ///< Number of running requests.
  std::uint64_t queued = 0;   ///< Number of queued requests.
  std::uint64_t slots = 0;    ///< Maximum number of running requests.

  template <typename Visitor>
  void Visit(Visitor& visit) {
    visit(this->revision, this->era, this->confirmed, this->list_version,
          this->config_contact_ms, this->list_contact_ms, this->clock_ms,
          this->leaving, this->endpoint_up, this->running, this->queued,
          this->slots);
  }
};

using WireHeaders = std::vector<std::pair<std::string, std::string>>;

/// Bytes that are sent as a byte string instead of a text string.
struct Blob {
  std::string bytes;
};

/// Entry to agent: submits an attempt.
struct Submit {
  std::string request;
  std::uint64_t attempt = 0;
  std::uint64_t incarnation = 0;  ///< Incarnation of the receiving agent.
  std::string organisation;
  std::string profile;
  std::uint64_t priority = 0;  ///< 0 to 9; 9 is the highest.
  /// Time on the agent's clock after which the attempt must not start.
  std::uint64_t start_by_ms = 0;
  /// Time on the agent's clock at which the attempt is cancelled.
  std::uint64_t deadline_ms = 0;
  /// Maximum number of output tokens, from which the agent computes the charge.
  std::uint64_t reserved_tokens = 0;
  /// Whether the endpoint sends nothing until its response is complete.
  bool non_streaming = false;
  std::string key;  ///< Idempotency key, or "".
  /// Fingerprint of the work. Attempts and requests with the same work share
  /// it.
  std::string fingerprint;
  std::string method;
  std::string target;
  WireHeaders headers;
  Blob body;

  template <typename Visitor>
  void Visit(Visitor& visit) {
    visit(this->request, this->attempt, this->incarnation, this->organisation,
          this->profile, this->priority, this->start_by_ms, this->deadline_ms,
          this->reserved_tokens, this->non_streaming, this->key,
          this->fingerprint, this->method, this->target, this->headers,
          this->body);
  }
};

/// Agent to entry: the agent starts the call to the endpoint, or has started it
/// for another subscriber, or sends a stored response.
struct Started {
  std::string request;
  std::uint64_t attempt = 0;

  template <typename Visitor>
  void Visit(Visitor& visit) {
    visit(this->request, this->attempt);
  }
};

/// Agent to entry: status and header fields of the endpoint's response.
struct Head {
  std::string request;
  std::uint64_t attempt = 0;
  std::uint64_t incarnation = 0;
  std::uint64_t status = 0;
  WireHeaders headers;

  template <typename Visitor>
  void Visit(Visitor& visit) {
    visit(this->request, this->attempt, this->incarnation, this->status,
          this->headers);
  }
};

/// Agent to entry: part of the response body, beginning at `offset`.
struct Chunk {
  std::string request;
  std::uint64_t attempt = 0;
  std::uint64_t incarnation = 0;
  std::uint64_t offset = 0;
  Blob data;

  template <typename Visitor>
  void Visit(Visitor& visit) {
    visit(this->request, this->attempt, this->incarnation, this->offset,
          this->data);
  }
};

/// Agent to entry: the attempt has ended, or a Submit or Resume was refused.
struct Ended {
  std::string request;
  std::uint64_t attempt = 0;
  std::uint64_t incarnation = 0;
  Outcome outcome = Outcome::kUnknown;
  Reason reason = Reason::kNone;
  std::uint64_t length = 0;          ///< Size of the response body in bytes.
  std::string digest;                ///< Digest of the complete body, or "".
  std::uint64_t retry_after_ms = 0;  ///< Time until a retry; 0: unknown.

  template <typename Visitor>
  void Visit(Visitor& visit) {
    visit(this->request, this->attempt, this->incarnation, this->outcome,
          this->reason, this->length, this->digest, this->retry_after_ms);
  }
};

/// Entry to agent: revokes an attempt that has not started.
struct Revoke {
  std::string request;
  std::uint64_t attempt = 0;
  /// Time on the agent's clock after which the attempt must not start. The
  /// agent records the revocation until then.
  std::uint64_t start_by_ms = 0;
  /// Whether the request has an idempotency key, so that another attempt under
  /// the same key may have run.
  bool keyed = false;

  template <typename Visitor>
  void Visit(Visitor& visit) {
    visit(this->request, this->attempt, this->start_by_ms, this->keyed);
  }
};

/// Entry to agent: the caller has disconnected, or the deadline has passed.
/// Unless the response has another subscriber, queued work is cancelled at
/// once, and running work without an idempotency key after the resume grace of
/// its profile.
struct Cancel {
  std::string request;
  std::uint64_t attempt = 0;
  /// Whether to cancel running work without grace, since no caller can resume
  /// the response.
  bool immediate = false;

  template <typename Visitor>
  void Visit(Visitor& visit) {
    visit(this->request, this->attempt, this->immediate);
  }
};

/// Entry to agent: requests the response body from `offset`, after an earlier
/// subscription has ended or bytes were missing.
struct Resume {
  std::string request;
  /// Attempt number that the agent uses in its messages from now on.
  std::uint64_t attempt = 0;
  std::string organisation;
  std::uint64_t offset = 0;

  template <typename Visitor>
  void Visit(Visitor& visit) {
    visit(this->request, this->attempt, this->organisation, this->offset);
  }
};

/// Entry to agent: the response body up to `offset` has been received by the
/// caller or buffered by the entry.
struct Consumed {
  std::string request;
  std::uint64_t attempt = 0;
  std::uint64_t offset = 0;

  template <typename Visitor>
  void Visit(Visitor& visit) {
    visit(this->request, this->attempt, this->offset);
  }
};

/// Both directions: the sender uses this configuration revision.
struct ConfigAnnounce {
  std::uint64_t revision = 0;
  std::uint64_t era = 0;
  bool confirmed = false;

  template <typename Visitor>
  void Visit(Visitor& visit) {
    visit(this->revision, this->era, this->confirmed);
  }
};

/// Both directions: requests the receiver's configuration.
struct ConfigPull {
  std::uint64_t have = 0;  ///< Revision that the sender has.

  template <typename Visitor>
  void Visit(Visitor& visit) {
    visit(this->have);
  }
};

/// Both directions: a complete configuration revision.
struct ConfigValue {
  std::uint64_t revision = 0;
  std::uint64_t era = 0;
  bool confirmed = false;
  std::string digest;
  Blob value;

  template <typename Visitor>
  void Visit(Visitor& visit) {
    visit(this->revision, this->era, this->confirmed, this->digest,
          this->value);
  }
};

/// Both directions: the sender has this version of the instance list.
struct ListAnnounce {
  std::uint64_t version = 0;

  template <typename Visitor>
  void Visit(Visitor& visit) {
    visit(this->version);
  }
};

/// Both directions: requests the receiver's instance list.
struct ListPull {
  std::uint64_t have = 0;  ///< Version that the sender has.

  template <typename Visitor>
  void Visit(Visitor& visit) {
    visit(this->have);
  }
};

/// Both directions: a complete instance list.
struct ListValue {
  Blob text;

  template <typename Visitor>
  void Visit(Visitor& visit) {
    visit(this->text);
  }
};

/// State of a gateway or rank agent. The process itself sends it, and others
/// forward it unchanged.
struct PeerState {
  std::string role;
  std::string node;
  std::uint64_t incarnation = 0;  ///< Random number, new after each restart.
  /// Grows with each state update of one incarnation.
  std::uint64_t sequence = 0;
  std::string link_address;
  std::string caller_address;
  std::string failure_domain;
  bool ready = false;
  bool leaving = false;
  /// Number of requests that the process has at each endpoint, as the text
  /// ID=COUNT with the id of the endpoint's instance.
  std::vector<std::string> in_flight;
  std::string engine_address;  ///< Rank agents only.
  /// Rank agents only: the engine's time per unit of work; 100 is normal, 200
  /// is twice as slow.
  std::uint64_t engine_slowdown_percent = 100;

  template <typename Visitor>
  void Visit(Visitor& visit) {
    visit(this->role, this->node, this->incarnation, this->sequence,
          this->link_address, this->caller_address, this->failure_domain,
          this->ready, this->leaving, this->in_flight, this->engine_address,
          this->engine_slowdown_percent);
  }
};

/// Peer states that the receiver may not know yet.
struct PeerStates {
  std::vector<PeerState> states;

  template <typename Visitor>
  void Visit(Visitor& visit) {
    visit(this->states);
  }
};

/// Rank agent to the group's leader: state of its rank.
struct RankStatus {
  std::string group;
  std::uint64_t epoch = 0;  ///< Grows each time that the group forms.
  std::uint64_t rank = 0;
  std::uint64_t size = 0;  ///< Number of ranks in the group.
  /// Whether the engine reports the group as "open" and the agent does not
  /// leave it.
  bool open = false;
  std::uint64_t step = 0;         ///< Last step that has begun.
  std::uint64_t map_version = 0;  ///< Version of the expert map in use.
  /// Version of the map whose weights the rank has copied completely, or 0.
  std::uint64_t prepared_version = 0;
  /// Version of the map to which the rank will switch at the beginning of
  /// `armed_step`, or 0.
  std::uint64_t armed_version = 0;
  std::uint64_t armed_step = 0;
  /// Step that this rank keeps the group from beginning, or 0.
  std::uint64_t held_step = 0;
  /// Fencing token of the leader that the rank agent follows; 0 without one.
  std::uint64_t fencing_token = 0;
  /// Highest fencing token that the rank agent has received. After the engine
  /// has refused the token of the leader's command as too low, at least twice
  /// that token, so that the leader tries a higher one.
  std::uint64_t highest_fencing_token = 0;
  /// Version that the engine refused to prepare, or 0.
  std::uint64_t refused_version = 0;
  /// Time per unit of work; 100 is normal, 200 is twice as slow.
  std::uint64_t slowdown_percent = 100;
  /// Experts that the rank holds in the map in use: for each layer their count,
  /// then their numbers. Empty when not known.
  std::vector<std::uint64_t> experts;

  template <typename Visitor>
  void Visit(Visitor& visit) {
    visit(this->group, this->epoch, this->rank, this->size, this->open,
          this->step, this->map_version, this->prepared_version,
          this->armed_version, this->armed_step, this->held_step,
          this->fencing_token, this->highest_fencing_token,
          this->refused_version, this->slowdown_percent, this->experts);
  }
};

/// Goal that a leader sets for a rank.
enum class SwitchGoal : std::uint64_t {
  kFollow = 0,   ///< Follow this leader, and no other until the lease expires.
  kPrepare = 1,  ///< Copy the weights that `map` needs.
  kHold = 2,     ///< Keep the group from beginning `step`.
  kArm = 3,      ///< Switch to `version` at the beginning of `step`.
  kRelease = 4,  ///< Do not hold the group.
  kAbandon = 5,  ///< Never switch to a version below `version`.
  kLeave = 6,    ///< This leader steps down; follow the next one.
};

/// Leader to rank agent: goal that replaces all earlier ones.
struct SwitchCommand {
  std::string leader;  ///< Unique name of the leader's incarnation.
  /// Even number that grows with each attempt at a switch. Orders to the engine
  /// that end or undo a switch have the next odd number.
  std::uint64_t fencing_token = 0;
  /// Grows with each command that has the same fencing token.
  std::uint64_t sequence = 0;
  std::string group;
  std::uint64_t epoch = 0;
  SwitchGoal goal = SwitchGoal::kFollow;
  std::uint64_t version = 0;
  std::uint64_t step = 0;
  /// Expert map of `version` in the form of experts::FlattenMap or
  /// experts::FlattenMapChanges. Empty unless the goal is kPrepare or kAbandon,
  /// and if the map was sent before.
  std::vector<std::uint64_t> map;

  template <typename Visitor>
  void Visit(Visitor& visit) {
    visit(this->leader, this->fencing_token, this->sequence, this->group,
          this->epoch, this->goal, this->version, this->step, this->map);
  }
};

/// Rank agent to the group's leader: number of times that the rank's tokens
/// selected each expert during a short sample.
struct ExpertCounts {
  std::string group;
  std::uint64_t epoch = 0;
  std::uint64_t rank = 0;
  /// Selections by layer and expert, in the form of experts::PackCounts.
  std::vector<std::uint64_t> counts;

  template <typename Visitor>
  void Visit(Visitor& visit) {
    visit(this->group, this->epoch, this->rank, this->counts);
  }
};

/// Status of work that was running when endpoints crashed.
enum class Suspicion : std::uint64_t {
  kSuspect = 0,      ///< May have caused a crash, so it runs only alone.
  kQuarantined = 1,  ///< Requests for this work are refused.
  kCleared = 2       ///< Completed while it ran alone; no longer suspect.
};

/// Both directions: crash evidence about one fingerprint.
struct Evidence {
  std::string fingerprint;
  Suspicion suspicion = Suspicion::kSuspect;
  /// Ids of the crashes during which the work ran.
  std::vector<std::string> crashes;
  /// Milliseconds until the evidence expires.
  std::uint64_t lifetime_ms = 0;

  template <typename Visitor>
  void Visit(Visitor& visit) {
    visit(this->fingerprint, this->suspicion, this->crashes, this->lifetime_ms);
  }
};

/// Gateway to gateway: evidence about work that may crash endpoints.
struct WorkReport {
  std::string key;   ///< Key that requests with the same work share.
  std::string node;  ///< Incarnation of the gateway that made the report.
  /// Ids of the crashes that ended attempts with this work and are not cleared.
  std::vector<std::string> crashes;
  /// Generations of these crashes, in the same order; see
  /// evidence::WorkRecord.
  std::vector<std::uint64_t> generations;
  /// Crashes up to this generation are cleared by an attempt that its endpoint
  /// survived.
  std::uint64_t cleared_through = 0;
  /// Number of attempts with this work at the reporting gateway, sent after a
  /// crash, to which endpoints began to respond.
  std::uint64_t begun = 0;
  /// Milliseconds until the evidence expires.
  std::uint64_t lifetime_ms = 0;

  template <typename Visitor>
  void Visit(Visitor& visit) {
    visit(this->key, this->node, this->crashes, this->generations,
          this->cleared_through, this->begun, this->lifetime_ms);
  }
};

/// Gateway to gateway: an endpoint has named a limit for the requests of all
/// gateways together, or has ended it.
struct RateLimit {
  std::string endpoint;
  /// Thousandths of a request a second; 0 if the endpoint has no limit.
  std::uint64_t milli_per_second = 0;
  /// Grows with each change of the limit that gateways announce. Of two news of
  /// one endpoint the higher number is valid.
  std::uint64_t sequence = 0;

  template <typename Visitor>
  void Visit(Visitor& visit) {
    visit(this->endpoint, this->milli_per_second, this->sequence);
  }
};

/// Gateway to gateway: the gateway that hands out permits for endpoints with a
/// limit, as far as the sender knows.
struct Coordinator {
  std::uint64_t candidate = 0;  ///< The highest one becomes the coordinator.
  /// Grows with each message that the coordinator itself sends.
  std::uint64_t sequence = 0;

  template <typename Visitor>
  void Visit(Visitor& visit) {
    visit(this->candidate, this->sequence);
  }
};

/// Gateway to gateway, towards the coordinator: asks for permits to send
/// requests to an endpoint.
struct PermitRequest {
  std::string endpoint;
  std::uint64_t count = 1;

  template <typename Visitor>
  void Visit(Visitor& visit) {
    visit(this->endpoint, this->count);
  }
};

/// Gateway to gateway, away from the coordinator: permits one request.
struct PermitGrant {
  std::string endpoint;
  std::uint64_t lifetime_ms = 0;  ///< Time until the permit expires.

  template <typename Visitor>
  void Visit(Visitor& visit) {
    visit(this->endpoint, this->lifetime_ms);
  }
};

/// Any message. The index of the type is its number on the wire, so new types
/// are added at the end.
using Message =
    std::variant<Hello, Heartbeat, Submit, Started, Head, Chunk, Ended, Revoke,
                 Cancel, Resume, Consumed, ConfigAnnounce, ConfigPull,
                 ConfigValue, ListAnnounce, ListPull, ListValue, Evidence,
                 PeerStates, RankStatus, SwitchCommand, ExpertCounts,
                 WorkReport, RateLimit, Coordinator, PermitRequest,
                 PermitGrant>;

/// Returns the name of the type of `message` for logs and metrics.
std::string_view MessageName(const Message& message);
/// Returns the name of `outcome` for logs and metrics.
std::string_view OutcomeName(Outcome outcome);
/// Returns the name of `reason` for logs and metrics.
std::string_view ReasonName(Reason reason);
/// Returns the name of `goal` for logs and metrics.
std::string_view SwitchGoalName(SwitchGoal goal);
/// Returns the name of `suspicion` for logs and metrics.
std::string_view SuspicionName(Suspicion suspicion);

}  // namespace banyanlane::link
