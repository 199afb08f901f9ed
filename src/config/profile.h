#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace banyanlane::config {

/// Kind of endpoint that a profile's work goes to.
enum class WorkClass {
  kChat,     ///< A model engine, under /v1/chat/completions.
  kService,  ///< A plain service, under the profile's path prefix.
};

/// Returns the name of `work_class` as written in a profile.
std::string_view WorkClassName(WorkClass work_class);

/// One of the services that a profile's work is divided over.
struct ServiceShare {
  std::string service;
  std::int64_t weight = 1;
};

/// One operator-published class of work and how it is treated.
struct Profile {
  std::string name;
  WorkClass work_class = WorkClass::kChat;
  std::string service;      ///< Model or plain service that endpoints announce.
  std::string path_prefix;  ///< Plain services: paths that this profile serves.
  bool repeatable = true;   ///< False: the work runs at most once.
  std::int64_t priority_ceiling =
      0;                         ///< Highest priority a caller can claim, 0..9.
  std::int64_t deadline_ms = 0;  ///< Longest time a request may take.
  std::int64_t attempt_timeout_ms = 0;  ///< Bound on one attempt's first byte.
  std::int64_t attempts = 0;            ///< Most attempts for one request.
  std::int64_t retry_budget_percent =
      0;  ///< Retries allowed, as a share of first attempts.
  std::int64_t max_output_tokens = 0;  ///< Ceiling on a caller's reservation.
  std::int64_t organisation_concurrency =
      0;  ///< Requests of one organisation at a time.
  std::int64_t key_lifetime_s =
      0;  ///< How long an idempotency key is remembered.
  std::int64_t crash_limit =
      0;  ///< Endpoint losses after which work is quarantined.
  std::int64_t resume_grace_ms =
      0;  ///< How long an answer waits for its caller to return.
  std::int64_t unread_window_bytes =
      0;  ///< Output ahead of the caller before a pause.

  // Only gateways use the rest.
  std::string host;                 ///< Host that callers name; any when empty.
  std::vector<ServiceShare> split;  ///< Replaces `service` when not empty.
  bool streaming = false;           ///< The answer is a series of events.
  bool resumable = false;           ///< A stream can go on at another endpoint.
  bool needs_key = false;           ///< Callers show an organisation's key.
  std::int64_t goal_ms = 0;  ///< An answer in this time has its full worth.
  std::int64_t urgency = 0;  ///< 0 comes first.
};

/// Who is served, and under which keys.
struct Organisation {
  std::string name;
  std::optional<std::int64_t> urgency;  ///< Goes before that of the profile.
};

/// What callers may send, and how long they may take.
struct CallerLimits {
  std::int64_t header_bytes = std::int64_t{16} * 1024;
  std::int64_t body_bytes = std::int64_t{4} * 1024 * 1024;
  std::int64_t header_timeout_ms = 10'000;
  std::int64_t idle_timeout_ms = 60'000;
};

/// How one expert-parallel group weighs skew against the cost of moves.
struct GroupPolicy {
  std::string name;
  std::int64_t skew_weight = 1;
  std::int64_t move_weight = 1;
};

/// Bounds of the expert maps of a service's groups.
struct ExpertBounds {
  std::int64_t places = 0;  ///< Experts that a rank can hold in a layer.
  std::int64_t spare = 0;  ///< Experts new to a rank in a layer, in one change.
};

/// One checked revision of the configuration. Never changed once made.
struct ConfigSnapshot {
  std::uint64_t revision = 0;
  std::string digest;  ///< Digest of `value`.
  std::string value;   ///< The text as published.
  std::map<std::string, Profile> profiles;
  std::map<std::string, GroupPolicy> groups;
  std::map<std::string, Organisation> organisations_by_key;
  std::map<std::string, ExpertBounds> expert_bounds;  ///< By service.
  CallerLimits caller_limits;

  /// Returns the profile called `name`, or null.
  const Profile* FindProfile(std::string_view name) const;
};

using ConfigPtr = std::shared_ptr<const ConfigSnapshot>;

}  // namespace banyanlane::config
