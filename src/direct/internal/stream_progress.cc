#include "direct/internal/stream_progress.h"

#include <algorithm>

#include "kernel/enum_names.h"

namespace banyanlane::direct {
namespace {

constexpr kernel::EnumNames<StreamLateness, 4> kLatenessNames = {{
    {StreamLateness::kOnTime, "no"},
    {StreamLateness::kFirstEvent, "first_event"},
    {StreamLateness::kPause, "pause"},
    {StreamLateness::kBoth, "first_event_and_pause"},
}};

}  // namespace

std::string_view StreamLatenessName(StreamLateness lateness) {
  return kernel::NameOf(kLatenessNames, lateness);
}

std::optional<kernel::Millis> StreamProgress::OnEvents(kernel::TimePoint now) {
  if (!this->first_at) {
    this->first_at = now;
    this->last_at = now;
    return std::nullopt;
  }
  const auto pause =
      std::chrono::duration_cast<kernel::Millis>(now - this->last_at);
  this->last_at = now;
  this->max_pause = std::max(this->max_pause, pause);
  return pause;
}

void StreamProgress::OnResumed(kernel::TimePoint now) { this->last_at = now; }

std::optional<kernel::Millis> StreamProgress::FirstEventTime(
    kernel::TimePoint arrived_at) const {
  if (!this->first_at) return std::nullopt;
  return std::chrono::duration_cast<kernel::Millis>(*this->first_at -
                                                    arrived_at);
}

StreamLateness StreamProgress::Lateness(const config::Profile& profile,
                                        kernel::TimePoint arrived_at) const {
  const auto first = this->FirstEventTime(arrived_at);
  const bool is_first_late = profile.latency_goal_ms > 0 && first &&
                             first->count() > profile.latency_goal_ms;
  const bool is_pause_long = profile.pause_goal_ms > 0 &&
                             this->max_pause.count() > profile.pause_goal_ms;
  if (is_first_late && is_pause_long) return StreamLateness::kBoth;
  if (is_first_late) return StreamLateness::kFirstEvent;
  return is_pause_long ? StreamLateness::kPause : StreamLateness::kOnTime;
}

}  // namespace banyanlane::direct
