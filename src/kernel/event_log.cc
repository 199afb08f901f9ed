#include "kernel/event_log.h"

#include <fmt/format.h>
#include <spdlog/async.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

namespace banyanlane::kernel {
namespace {

/// Lines that wait to be written, at most.
constexpr std::size_t kQueuedLines = 2'048;

spdlog::level::level_enum SpdlogLevel(Level level) {
  switch (level) {
    case Level::kDebug:
      return spdlog::level::debug;
    case Level::kInfo:
      return spdlog::level::info;
    case Level::kWarning:
      return spdlog::level::warn;
    case Level::kError:
      return spdlog::level::err;
  }
  return spdlog::level::info;
}

const EventRow& RowOf(EventId id) {
  for (const EventRow& row : EventCatalogue()) {
    if (row.id == id) return row;
  }
  return EventCatalogue().front();
}

/// Keeps one event on one line, whatever a peer put into a field.
std::string OneLine(std::string_view text) {
  std::string line;
  for (const char c : text) line += (c >= ' ' && c != '"') ? c : '?';
  return line;
}

}  // namespace

const std::vector<EventRow>& EventCatalogue() {
  static const std::vector<EventRow> rows = {
      {EventId::kProcessStarted, "process_started", Level::kInfo,
       "The process runs."},
      {EventId::kProcessReady, "process_ready", Level::kInfo,
       "The process takes work."},
      {EventId::kStopRequested, "stop_requested", Level::kInfo,
       "A graceful shutdown began."},
      {EventId::kStopWaiting, "stop_waiting", Level::kInfo,
       "Shutdown waits for requests."},
      {EventId::kProcessStopped, "process_stopped", Level::kInfo,
       "The process ends."},
      {EventId::kSettingsReloaded, "settings_reloaded", Level::kInfo,
       "The settings file was read again and is good."},
      {EventId::kSettingsRefused, "settings_refused", Level::kWarning,
       "The settings file was read again and can't be used."},
      {EventId::kConfigAdopted, "config_adopted", Level::kInfo,
       "A revision is in force."},
      {EventId::kConfigRefused, "config_refused", Level::kWarning,
       "A revision was refused; the old one stays in force."},
      {EventId::kConfigSuperseded, "config_superseded", Level::kDebug,
       "An offered revision is not newer than the one in force."},
      {EventId::kPlatformUnreachable, "platform_unreachable", Level::kWarning,
       "The configuration service does not answer."},
      {EventId::kPlatformRecovered, "platform_recovered", Level::kInfo,
       "The configuration service answers again."},
      {EventId::kInstanceListChanged, "instance_list_changed", Level::kInfo,
       "The list of instances changed."},
      {EventId::kInstanceListRefused, "instance_list_refused", Level::kWarning,
       "A list of instances was malformed."},
      {EventId::kCatalogItemIgnored, "catalog_item_ignored", Level::kDebug,
       "The platform's store holds something that can't be used."},
      {EventId::kLinkOpened, "link_opened", Level::kInfo,
       "A link passed its handshake."},
      {EventId::kLinkClosed, "link_closed", Level::kInfo, "A link ended."},
      {EventId::kLinkSilent, "link_silent", Level::kWarning,
       "Nothing came over a link within its bound; it is closed."},
      {EventId::kLinkFrameRefused, "link_frame_refused", Level::kWarning,
       "A frame was malformed; its link is closed."},
      {EventId::kLinkPeerRefused, "link_peer_refused", Level::kWarning,
       "A peer failed the handshake."},
      {EventId::kAcceptFailing, "accept_failing", Level::kWarning,
       "Connections can't be accepted; idle ones are closed to make room."},
      {EventId::kAcceptRecovered, "accept_recovered", Level::kInfo,
       "Connections are accepted again."},
      {EventId::kRequestEnded, "request_ended", Level::kInfo,
       "A request got its answer."},
      {EventId::kRequestRefused, "request_refused", Level::kInfo,
       "A request was given up on; the outcome says if it ran."},
      {EventId::kRequestRetried, "request_retried", Level::kInfo,
       "A request goes to another endpoint."},
      {EventId::kAnswerCut, "answer_cut", Level::kWarning,
       "An answer ended before it was whole; the caller was told."},
      {EventId::kAnswerResumed, "answer_resumed", Level::kInfo,
       "An answer goes on from an offset."},
      {EventId::kKeyConflict, "key_conflict", Level::kWarning,
       "An idempotency key came again with other work."},
      {EventId::kHandlerFailed, "handler_failed", Level::kError,
       "A request failed inside the process; its connection was closed."},
      {EventId::kAttemptFailed, "attempt_failed", Level::kInfo,
       "An endpoint brought no whole answer."},
      {EventId::kEndpointLost, "endpoint_lost", Level::kWarning,
       "The endpoint dropped its connections."},
      {EventId::kEndpointBack, "endpoint_back", Level::kInfo,
       "The endpoint answers again."},
      {EventId::kEndpointLeaving, "endpoint_leaving", Level::kInfo,
       "The endpoint takes no new work."},
      {EventId::kWorkSuspected, "work_suspected", Level::kWarning,
       "Work ran when an endpoint was lost; it runs alone from now on."},
      {EventId::kWorkQuarantined, "work_quarantined", Level::kWarning,
       "Work reached the crash limit and is refused."},
      {EventId::kWorkCleared, "work_cleared", Level::kInfo,
       "Suspected work ran alone to its end and is clear."},
      {EventId::kOrderApplied, "order_applied", Level::kInfo,
       "An order reached the endpoint."},
      {EventId::kOrderRefused, "order_refused", Level::kWarning,
       "An order was refused, with the reason."},
      {EventId::kGroupLead, "group_lead", Level::kInfo,
       "This process begins or ceases to lead its group."},
      {EventId::kMapPlanned, "map_planned", Level::kInfo,
       "A better expert map was found; the ranks are asked to change to it."},
      {EventId::kMapChanged, "map_changed", Level::kInfo,
       "All ranks use the new expert map."},
      {EventId::kMapAbandoned, "map_abandoned", Level::kWarning,
       "A change of expert maps was given up; the old map stays."},
      {EventId::kEngineUnreadable, "engine_unreadable", Level::kWarning,
       "A rank's engine does not tell its state."},
      {EventId::kEngineReadable, "engine_readable", Level::kInfo,
       "A rank's engine tells its state again."},
  };
  return rows;
}

void StartLog() {
  spdlog::init_thread_pool(kQueuedLines, 1);
  // The oldest lines are dropped when nobody takes them: the process never
  // waits for its log.
  spdlog::set_default_logger(
      spdlog::create_async_nb<spdlog::sinks::stdout_sink_mt>("events"));
}

void StopLog() { spdlog::shutdown(); }

void SetLogLevel(std::string_view level) {
  spdlog::set_level(spdlog::level::from_str(std::string(level)));
  spdlog::set_pattern("%Y-%m-%dT%H:%M:%S.%eZ %l %v",
                      spdlog::pattern_time_type::utc);
}

void LogEvent(EventId id, const EventFields& fields) {
  const EventRow& row = RowOf(id);
  if (!spdlog::should_log(SpdlogLevel(row.level))) return;
  std::string line = fmt::format("BL{:04} {}", static_cast<int>(id), row.name);
  for (const auto& [key, value] : fields)
    line += fmt::format(" {}=\"{}\"", key, OneLine(value));
  spdlog::log(SpdlogLevel(row.level), "{}", line);
}

std::string_view EventName(EventId id) { return RowOf(id).name; }

std::string FieldOf(const EventFields& fields, std::string_view name) {
  for (const auto& [key, value] : fields) {
    if (key == name) return value;
  }
  return "";
}

}  // namespace banyanlane::kernel
