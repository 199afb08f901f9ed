#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "agent/idempotency_key.h"
#include "agent/internal/response_buffer.h"
#include "config/profile.h"
#include "kernel/time.h"
#include "link/messages.h"

namespace banyanlane::agent {

/// Reader of a response: the entry that submitted the request, or one that
/// resumed it or submitted the same idempotency key.
struct Subscriber {
  std::uint64_t link = 0;
  std::string request;        ///< Request id in the messages sent to it.
  std::uint64_t attempt = 0;  ///< Attempt number in the messages sent to it.
  /// Offset up to which the response was sent to the subscriber.
  std::uint64_t sent_offset = 0;
  /// Offset up to which the caller has received the response.
  std::uint64_t consumed_offset = 0;
  bool head_sent = false;
  bool started_sent = false;
};

enum class StreamState { kQueued, kRunning, kEnded };

/// One piece of work for the endpoint, with its response.
struct Stream {
  Stream(link::Submit submit, config::ConfigPtr config,
         const config::Profile* profile, std::size_t response_buffer_bytes)
      : work(std::move(submit)),
        config(std::move(config)),
        profile(profile),
        buffer(response_buffer_bytes) {}

  link::Submit work;  ///< Its `request` is the id of the stream.
  /// Configuration that owns `profile`. It stays alive when a later revision
  /// changes or removes the profile.
  config::ConfigPtr config;
  const config::Profile* profile;
  std::optional<IdempotencyKey> key;
  StreamState state = StreamState::kQueued;
  std::vector<Subscriber> subscribers;

  bool call_started = false;
  /// Time of the call's start, or of the last probe that this stream caused.
  kernel::TimePoint last_checked_at;
  bool has_head = false;
  std::uint64_t status = 0;
  link::WireHeaders headers;
  ResponseBuffer buffer;
  /// Estimated number of response tokens received from the endpoint.
  std::int64_t tokens = 0;
  /// Highest offset up to which any caller has received the response.
  std::uint64_t max_consumed_offset = 0;

  /// Whether the work is suspect, so that it runs with no other.
  bool must_run_alone = false;
  bool paused = false;  ///< Reading from the endpoint is paused.
  bool cancelled = false;
  /// Time since which the stream has had no subscriber.
  std::optional<kernel::TimePoint> no_subscriber_since;
  kernel::TimePoint ended_at;
  link::Outcome outcome = link::Outcome::kUnknown;
  link::Reason reason = link::Reason::kNone;
  std::string digest;
};

}  // namespace banyanlane::agent
