#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace banyanlane::config {

/// Kind of endpoint that serves a profile's requests.
enum class WorkClass {
  kChat,     ///< Model engine; the path is /v1/chat/completions.
  kService,  ///< Plain service; the path begins with the profile's prefix.
};

/// Returns the name of `work_class` in the text of a profile.
std::string_view WorkClassName(WorkClass work_class);

/// Service to which a weighted share of a profile's requests is routed.
struct ServiceShare {
  std::string service;
  std::int64_t weight = 1;
};

/// Class of requests that an operator has published, and how they are handled.
struct Profile {
  std::string name;
  WorkClass work_class = WorkClass::kChat;
  std::string service;      ///< Model or plain service that endpoints announce.
  std::string path_prefix;  ///< Path prefix of a plain service's requests.
  bool repeatable = true;   ///< False if the work must run at most once.
  /// Maximum priority that a caller can request, 0 to 9.
  std::int64_t priority_ceiling = 0;
  /// Maximum time from a request's arrival to its response; 0 or less if the
  /// profile names none, which only gateways allow.
  std::int64_t deadline_ms = 0;
  /// Maximum time from the start of an attempt to its first response byte.
  std::int64_t attempt_timeout_ms = 0;
  std::int64_t attempts = 0;  ///< Maximum number of attempts for a request.
  /// Maximum number of retries as a percentage of first attempts.
  std::int64_t retry_budget_percent = 0;
  /// Maximum number of output tokens that a caller can reserve.
  std::int64_t max_output_tokens = 0;
  /// Maximum number of concurrent requests of an organisation.
  std::int64_t organisation_concurrency = 0;
  /// Seconds for which an idempotency key is valid.
  std::int64_t key_lifetime_s = 0;
  /// Number of endpoint losses after which work is quarantined.
  std::int64_t crash_limit = 0;
  /// Time for which a response is held after its caller has disconnected.
  std::int64_t resume_grace_ms = 0;
  /// Maximum number of response bytes that the caller has not yet received;
  /// reading from the endpoint pauses at this limit.
  std::int64_t unread_window_bytes = 0;

  // Only gateways use the members below.
  std::string host;  ///< Host name in the caller's request; empty: any.
  std::vector<ServiceShare> split;  ///< Replaces `service` if not empty.
  bool streaming = false;           ///< The response is a stream of events.
  /// Another endpoint can continue a stream that was interrupted.
  bool resumable = false;
  /// Callers must send the API key of an organisation.
  bool requires_api_key = false;
  /// Response time up to which a response has its full value.
  std::int64_t latency_goal_ms = 0;
  /// Longest pause between two events of a stream that has its full value, or
  /// 0 if the profile names none.
  std::int64_t pause_goal_ms = 0;
  std::int64_t urgency = 0;  ///< 0 is the most urgent.
};

/// Organisation whose callers are served.
struct Organisation {
  std::string name;
  std::optional<std::int64_t> urgency;  ///< Overrides the profile's urgency.
};

/// Limits on the size and duration of callers' requests.
struct CallerLimits {
  std::int64_t header_bytes = std::int64_t{16} * 1024;
  std::int64_t body_bytes = std::int64_t{4} * 1024 * 1024;
  std::int64_t header_timeout_ms = 10'000;
  std::int64_t idle_timeout_ms = 60'000;
};

/// Weights of load skew and of the cost of expert moves, for planning the
/// expert map of an expert-parallel group.
struct GroupPolicy {
  std::string name;
  std::int64_t skew_weight = 1;
  std::int64_t move_weight = 1;
};

/// Limits on the expert maps of a service's groups.
struct ExpertBounds {
  /// Maximum number of experts that a rank holds in a layer.
  std::int64_t max_experts_per_rank = 0;
  /// Maximum number of experts that one map change adds to a rank in a layer.
  std::int64_t max_new_experts_per_rank = 0;
  /// Time in which a rank copies one expert, in milliseconds; 0 if unknown.
  double copy_ms = 0;
};

/// Validated revision of the configuration. Immutable once it is shared.
struct ConfigSnapshot {
  std::uint64_t revision = 0;
  std::uint64_t era = 0;   ///< See ConfigVersion.
  bool confirmed = false;  ///< See ConfigVersion.
  std::string digest;      ///< Digest of `value`.
  std::string value;       ///< Text as published.
  std::map<std::string, Profile> profiles;
  std::map<std::string, GroupPolicy> groups;
  std::map<std::string, Organisation> organisations_by_api_key;
  std::map<std::string, ExpertBounds> expert_bounds;  ///< By service.
  CallerLimits caller_limits;

  /// Returns the profile with the given name, or null.
  const Profile* FindProfile(std::string_view name) const;
};

using ConfigPtr = std::shared_ptr<const ConfigSnapshot>;

}  // namespace banyanlane::config
