#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace banyanlane::config {

/// Kind of endpoint that a profile's work goes to.
enum class WorkClass {
  kChat,     ///< A model engine, under /v1/chat/completions.
  kService,  ///< A plain service, under the profile's path prefix.
};

/// Returns the name of `work_class` as written in a profile.
std::string_view WorkClassName(WorkClass work_class);

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
};

/// How one expert-parallel group weighs skew against the cost of moves.
struct GroupPolicy {
  std::string name;
  std::int64_t skew_weight = 1;
  std::int64_t move_weight = 1;
};

/// One checked revision of the configuration. Never changed once made.
struct ConfigSnapshot {
  std::uint64_t revision = 0;
  std::string digest;  ///< Digest of `value`.
  std::string value;   ///< The text as published.
  std::map<std::string, Profile> profiles;
  std::map<std::string, GroupPolicy> groups;

  /// Returns the profile called `name`, or null.
  const Profile* FindProfile(std::string_view name) const;
};

using ConfigPtr = std::shared_ptr<const ConfigSnapshot>;

}  // namespace banyanlane::config
