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

/// One reader of an answer: the caller's entry, or another one that took over.
struct Subscriber {
  std::uint64_t link = 0;
  std::string request;        ///< Label on the frames it gets.
  std::uint64_t attempt = 0;  ///< Label on the frames it gets.
  std::uint64_t sent_offset =
      0;  ///< Offset up to which it was sent the answer.
  std::uint64_t consumed_offset =
      0;  ///< Offset up to which its caller took the answer.
  bool head_sent = false;
  bool started_sent = false;
};

/// Where a piece of work stands.
enum class StreamState { kQueued, kRunning, kEnded };

/// One piece of work on the endpoint, with its answer.
struct Stream {
  Stream(link::Submit submit, config::ConfigPtr config,
         const config::Profile* profile, std::size_t response_buffer_bytes)
      : work(std::move(submit)),
        config(std::move(config)),
        profile(profile),
        buffer(response_buffer_bytes) {}

  link::Submit work;  ///< Its `request` names the stream.
  config::ConfigPtr
      config;  ///< Keeps `profile` alive through changes and retirement.
  const config::Profile* profile;
  std::optional<IdempotencyKey> key;
  StreamState state = StreamState::kQueued;
  std::vector<Subscriber> subscribers;

  bool call_started = false;          ///< The endpoint was called.
  kernel::TimePoint last_checked_at;  ///< When the endpoint was last known to
                                      ///< be at work on it.
  bool has_head = false;
  std::uint64_t status = 0;
  link::WireHeaders headers;
  ResponseBuffer buffer;
  std::int64_t tokens = 0;
  std::uint64_t max_consumed_offset =
      0;  ///< Highest offset that any caller took.

  bool alone = false;   ///< Runs as a suspect, with nothing beside it.
  bool paused = false;  ///< The endpoint is held back.
  bool cancelled = false;
  std::optional<kernel::TimePoint> unread_since;  ///< Since when nobody reads.
  kernel::TimePoint ended_at;
  link::Outcome outcome = link::Outcome::kUnknown;
  link::Reason reason = link::Reason::kNone;
  std::string digest;
};

}  // namespace banyanlane::agent
