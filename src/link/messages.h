#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

namespace banyanlane::link {

/// Version of the messages below; peers with another one are refused.
inline constexpr std::uint64_t kProtocolVersion = 1;

/// What one attempt at a request came to.
enum class Outcome : std::uint64_t {
  kCompleted = 0,
  kNotRun = 1,   ///< Provably never started, and it never will be.
  kUnknown = 2,  ///< It may have run, in part or whole.
};

/// Why an agent refused or ended an attempt.
enum class Reason : std::uint64_t {
  kNone = 0,
  kLeaving = 1,
  kFull = 2,
  kExpired = 3,
  kRevoked = 4,
  kUnknownProfile = 5,
  kWrongIncarnation = 6,
  kKeyConflict = 7,
  kKeyExpired = 8,
  kEndpointDown = 9,
  kEndpointFailed = 10,
  kQuarantined = 11,
  kNotFound = 12,
  kOffsetGone = 13,
  kCancelled = 14,
  kAnswerTooLarge = 15,
  kOrganisationLimit = 16,
  kNoEndpoint = 17,
  kLinkLost = 18,
  kDeadline = 19,
  kRetryBudget = 20,
  kStopping = 21,
  kKeySpent = 22,
};

/// First message in both directions of a link.
struct Hello {
  std::uint64_t protocol = kProtocolVersion;
  std::string role;
  std::string node;
  std::uint64_t incarnation = 0;
  std::string failure_domain;
  std::string service;         ///< Agents: what their endpoint serves.
  std::uint64_t revision = 0;  ///< Configuration in force at the sender.
  std::uint64_t list_version = 0;
  std::uint64_t clock_ms = 0;  ///< Agents: milliseconds since their start.
  bool leaving = false;

  template <typename Visitor>
  void Visit(Visitor& visit) {
    visit(this->protocol, this->role, this->node, this->incarnation,
          this->failure_domain, this->service, this->revision,
          this->list_version, this->clock_ms, this->leaving);
  }
};

/// Sent when a link has been idle; also carries the sender's state.
struct Heartbeat {
  std::uint64_t revision = 0;
  std::uint64_t list_version = 0;
  std::uint64_t clock_ms = 0;
  bool leaving = false;
  bool endpoint_up = true;
  std::uint64_t running = 0;
  std::uint64_t queued = 0;
  std::uint64_t slots = 0;

  template <typename Visitor>
  void Visit(Visitor& visit) {
    visit(this->revision, this->list_version, this->clock_ms, this->leaving,
          this->endpoint_up, this->running, this->queued, this->slots);
  }
};

using WireHeaders = std::vector<std::pair<std::string, std::string>>;

/// Bytes that are not text.
struct Blob {
  std::string bytes;
};

/// Entry to agent: run this work.
struct Submit {
  std::string request;
  std::uint64_t attempt = 0;
  std::uint64_t incarnation = 0;  ///< Of the agent it is meant for.
  std::string organisation;
  std::string profile;
  std::uint64_t priority = 0;
  std::uint64_t start_by_ms =
      0;  ///< On the agent's clock; never started later.
  std::uint64_t deadline_ms = 0;  ///< On the agent's clock; cancelled then.
  std::uint64_t reserved_tokens = 0;
  bool non_streaming =
      false;                ///< The endpoint answers nothing until it has all.
  std::string key;          ///< Idempotency key, or "".
  std::string fingerprint;  ///< Of the work, not of the request.
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

/// Agent to entry: the work has been sent to the endpoint.
struct Started {
  std::string request;
  std::uint64_t attempt = 0;

  template <typename Visitor>
  void Visit(Visitor& visit) {
    visit(this->request, this->attempt);
  }
};

/// Agent to entry: the endpoint's status and header fields.
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

/// Agent to entry: bytes of the answer from `offset`.
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

/// Agent to entry: the attempt has ended.
struct Ended {
  std::string request;
  std::uint64_t attempt = 0;
  std::uint64_t incarnation = 0;
  Outcome outcome = Outcome::kUnknown;
  Reason reason = Reason::kNone;
  std::uint64_t length = 0;
  std::string digest;  ///< Of the whole answer, when completed.
  std::uint64_t retry_after_ms = 0;

  template <typename Visitor>
  void Visit(Visitor& visit) {
    visit(this->request, this->attempt, this->incarnation, this->outcome,
          this->reason, this->length, this->digest, this->retry_after_ms);
  }
};

/// Entry to agent: do not start this attempt if it has not started.
struct Revoke {
  std::string request;
  std::uint64_t attempt = 0;
  std::uint64_t start_by_ms =
      0;  ///< That of the attempt: the revocation is kept until then.
  bool keyed = false;  ///< Another copy under the same key may have run.

  template <typename Visitor>
  void Visit(Visitor& visit) {
    visit(this->request, this->attempt, this->start_by_ms, this->keyed);
  }
};

/// Entry to agent: the caller has gone; stop once its grace has passed.
struct Cancel {
  std::string request;
  std::uint64_t attempt = 0;
  bool immediate =
      false;  ///< Without grace: nobody can come back for the answer.

  template <typename Visitor>
  void Visit(Visitor& visit) {
    visit(this->request, this->attempt, this->immediate);
  }
};

/// Entry to agent: send the answer again from `offset`.
struct Resume {
  std::string request;
  std::uint64_t attempt = 0;  ///< Label for the frames of this continuation.
  std::string organisation;
  std::uint64_t offset = 0;

  template <typename Visitor>
  void Visit(Visitor& visit) {
    visit(this->request, this->attempt, this->organisation, this->offset);
  }
};

/// Entry to agent: the caller has taken the answer up to `offset`.
struct Consumed {
  std::string request;
  std::uint64_t attempt = 0;
  std::uint64_t offset = 0;

  template <typename Visitor>
  void Visit(Visitor& visit) {
    visit(this->request, this->attempt, this->offset);
  }
};

/// Either way: this revision is in force here.
struct ConfigAnnounce {
  std::uint64_t revision = 0;

  template <typename Visitor>
  void Visit(Visitor& visit) {
    visit(this->revision);
  }
};

/// Either way: send me what you have in force.
struct ConfigPull {
  std::uint64_t have = 0;

  template <typename Visitor>
  void Visit(Visitor& visit) {
    visit(this->have);
  }
};

/// Either way: a whole revision.
struct ConfigValue {
  std::uint64_t revision = 0;
  std::string digest;
  Blob value;

  template <typename Visitor>
  void Visit(Visitor& visit) {
    visit(this->revision, this->digest, this->value);
  }
};

/// Either way: this version of the list of instances is known here.
struct ListAnnounce {
  std::uint64_t version = 0;

  template <typename Visitor>
  void Visit(Visitor& visit) {
    visit(this->version);
  }
};

/// Either way: send me your list of instances.
struct ListPull {
  std::uint64_t have = 0;

  template <typename Visitor>
  void Visit(Visitor& visit) {
    visit(this->have);
  }
};

/// Either way: a whole list of instances.
struct ListValue {
  Blob text;

  template <typename Visitor>
  void Visit(Visitor& visit) {
    visit(this->text);
  }
};

/// What a gateway or rank agent tells of itself; passed on by others as it is.
struct PeerState {
  std::string role;
  std::string node;
  std::uint64_t incarnation = 0;  ///< Later lives have higher numbers.
  std::uint64_t sequence = 0;     ///< Grows with each statement of one life.
  std::string link_address;
  std::string caller_address;
  std::string failure_domain;
  bool ready = false;
  bool leaving = false;
  /// Requests it has at endpoints, as ID=COUNT.
  std::vector<std::string> in_flight;
  /// Rank agents: address of the engine, and the time that its work takes, in
  /// hundredths of the usual.
  std::string engine_address;
  std::uint64_t engine_pace = 100;

  template <typename Visitor>
  void Visit(Visitor& visit) {
    visit(this->role, this->node, this->incarnation, this->sequence,
          this->link_address, this->caller_address, this->failure_domain,
          this->ready, this->leaving, this->in_flight, this->engine_address,
          this->engine_pace);
  }
};

/// Gateway to gateway: what the sender knows that the receiver may not.
struct PeerStates {
  std::vector<PeerState> states;

  template <typename Visitor>
  void Visit(Visitor& visit) {
    visit(this->states);
  }
};

/// Rank agent to the group's lead: how things stand at its rank.
struct RankStatus {
  std::string group;
  std::uint64_t epoch = 0;  ///< Of the group's forming.
  std::uint64_t rank = 0;
  std::uint64_t size = 0;  ///< Ranks of the group.
  bool open = false;
  std::uint64_t step = 0;  ///< Last pass that was begun.
  std::uint64_t map_version = 0;
  std::uint64_t prepared_version = 0;  ///< 0: none.
  std::uint64_t armed_version = 0;     ///< 0: none.
  std::uint64_t armed_step = 0;
  std::uint64_t held_step = 0;        ///< 0: none.
  std::uint64_t fence = 0;            ///< Of the lead that it obeys.
  std::uint64_t highest_fence = 0;    ///< That it has met.
  std::uint64_t refused_version = 0;  ///< That it could not prepare.
  std::uint64_t pace = 100;  ///< Time that its work takes, in hundredths.
  /// Experts in use: for each layer their number, then each of them.
  std::vector<std::uint64_t> experts;

  template <typename Visitor>
  void Visit(Visitor& visit) {
    visit(this->group, this->epoch, this->rank, this->size, this->open,
          this->step, this->map_version, this->prepared_version,
          this->armed_version, this->armed_step, this->held_step, this->fence,
          this->highest_fence, this->refused_version, this->pace,
          this->experts);
  }
};

/// What a rank is to reach.
enum class SwitchGoal : std::uint64_t {
  kFollow = 0,   ///< Obey this lead, and no other for a while.
  kPrepare = 1,  ///< Hold the weights that `map` needs.
  kHold = 2,     ///< Keep the group from beginning `step`.
  kArm = 3,      ///< Change to `version` as `step` begins.
  kRelease = 4,  ///< Keep the group from nothing.
  kAbandon = 5,  ///< Never change to any version below `version`.
  kLeave = 6,    ///< Obey whoever comes next.
};

/// Lead to rank agent: what to reach now, in place of all earlier goals.
struct SwitchCommand {
  std::string lead;          ///< Process that leads, unlike any other.
  std::uint64_t fence = 0;   ///< Even; the next odd number goes with what ends
                             ///< or undoes a change.
  std::uint64_t number = 0;  ///< Grows with each command of one fence.
  std::string group;
  std::uint64_t epoch = 0;
  SwitchGoal goal = SwitchGoal::kFollow;
  std::uint64_t version = 0;
  std::uint64_t step = 0;
  /// Experts of the map: for each layer and rank their number, then each.
  std::vector<std::uint64_t> map;

  template <typename Visitor>
  void Visit(Visitor& visit) {
    visit(this->lead, this->fence, this->number, this->group, this->epoch,
          this->goal, this->version, this->step, this->map);
  }
};

/// Rank agent to the group's lead: how often its rank's work chose each expert
/// since the rank started.
struct ExpertCounts {
  std::string group;
  std::uint64_t epoch = 0;
  std::uint64_t rank = 0;
  std::vector<std::uint64_t> counts;  ///< Layer by layer.

  template <typename Visitor>
  void Visit(Visitor& visit) {
    visit(this->group, this->epoch, this->rank, this->counts);
  }
};

/// What is known of work that was running when endpoints were lost.
enum class Suspicion : std::uint64_t {
  kSuspect = 0,
  kQuarantined = 1,
  kCleared = 2
};

/// Either way: crash evidence about one fingerprint.
struct Evidence {
  std::string fingerprint;
  Suspicion suspicion = Suspicion::kSuspect;
  std::vector<std::string> crashes;  ///< Ids of the crashes it took part in.
  std::uint64_t lifetime_ms = 0;     ///< Left before it expires.

  template <typename Visitor>
  void Visit(Visitor& visit) {
    visit(this->fingerprint, this->suspicion, this->crashes, this->lifetime_ms);
  }
};

/// Every message; the index is its number on the wire, so new ones go to the
/// end.
using Message =
    std::variant<Hello, Heartbeat, Submit, Started, Head, Chunk, Ended, Revoke,
                 Cancel, Resume, Consumed, ConfigAnnounce, ConfigPull,
                 ConfigValue, ListAnnounce, ListPull, ListValue, Evidence,
                 PeerStates, RankStatus, SwitchCommand, ExpertCounts>;

/// Returns the stable name of `outcome`.
std::string_view OutcomeName(Outcome outcome);
/// Returns the stable name of `reason`.
std::string_view ReasonName(Reason reason);
/// Returns the stable name of `goal`.
std::string_view SwitchGoalName(SwitchGoal goal);
/// Returns the stable name of `suspicion`.
std::string_view SuspicionName(Suspicion suspicion);

}  // namespace banyanlane::link
