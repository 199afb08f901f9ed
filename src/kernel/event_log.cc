#include "kernel/event_log.h"

#include <fmt/format.h>
#include <spdlog/async.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <future>
#include <thread>

namespace banyanlane::kernel {
namespace {

/// Maximum number of log lines that wait to be written.
constexpr std::size_t kMaxQueuedLines = 2'048;
/// Maximum length of the value of a field, some of which callers choose.
constexpr std::size_t kMaxValueBytes = 512;

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

const EventRow& FindRow(EventId id) {
  for (const EventRow& row : EventCatalogue()) {
    if (row.id == id) return row;
  }
  return EventCatalogue().front();
}

/// Replaces control characters and quotes with '?', so that a field value from
/// another process can't end the line or the value, and shortens a long one.
/// Where `char` is signed, all non-ASCII bytes are replaced.
std::string SanitizeFieldValue(std::string_view text) {
  std::string line;
  for (const char c : text.substr(0, kMaxValueBytes))
    line += (c >= ' ' && c != '"') ? c : '?';
  return line;
}

}  // namespace

const std::vector<EventRow>& EventCatalogue() {
  static const std::vector<EventRow> rows = {
      {EventId::kProcessStarted, "process_started", Level::kInfo,
       "The process has started."},
      {EventId::kProcessReady, "process_ready", Level::kInfo,
       "The process is ready and accepts requests."},
      {EventId::kStopRequested, "stop_requested", Level::kInfo,
       "A graceful shutdown began."},
      {EventId::kStopWaiting, "stop_waiting", Level::kInfo,
       "The shutdown is waiting for requests in flight."},
      {EventId::kProcessStopped, "process_stopped", Level::kInfo,
       "The process has stopped."},
      {EventId::kSettingsReloaded, "settings_reloaded", Level::kInfo,
       "The settings file was reloaded."},
      {EventId::kSettingsRefused, "settings_refused", Level::kWarning,
       "The changed settings file is invalid; the current settings stay in "
       "use."},
      {EventId::kStopClosing, "stop_closing", Level::kInfo,
       "The shutdown accepts nothing more; the requests that are left are "
       "answered at once."},
      {EventId::kConfigAdopted, "config_adopted", Level::kInfo,
       "A configuration revision was adopted."},
      {EventId::kConfigRefused, "config_refused", Level::kWarning,
       "A configuration revision was refused; the current one stays in force."},
      {EventId::kConfigSuperseded, "config_superseded", Level::kDebug,
       "An offered configuration revision is not newer than the current one."},
      {EventId::kPlatformUnreachable, "platform_unreachable", Level::kWarning,
       "The configuration service does not respond."},
      {EventId::kPlatformRecovered, "platform_recovered", Level::kInfo,
       "The configuration service responds again."},
      {EventId::kPlatformRestored, "platform_restored", Level::kWarning,
       "The platform's store was restored from an older copy; everything is "
       "read again."},
      {EventId::kInstanceListChanged, "instance_list_changed", Level::kInfo,
       "The instance list changed."},
      {EventId::kInstanceListRefused, "instance_list_refused", Level::kWarning,
       "An instance list is malformed."},
      {EventId::kCatalogItemIgnored, "catalog_item_ignored", Level::kDebug,
       "An item in the platform's store can't be used."},
      {EventId::kLinkOpened, "link_opened", Level::kInfo,
       "A link completed its handshake."},
      {EventId::kLinkClosed, "link_closed", Level::kInfo, "A link was closed."},
      {EventId::kLinkSilent, "link_silent", Level::kWarning,
       "A link received nothing within its timeout and is closed."},
      {EventId::kLinkFrameRefused, "link_frame_refused", Level::kWarning,
       "A frame is malformed; its link is closed."},
      {EventId::kLinkPeerRefused, "link_peer_refused", Level::kWarning,
       "A peer failed the handshake."},
      {EventId::kAcceptFailing, "accept_failing", Level::kWarning,
       "Connections can't be accepted; idle connections are closed to free "
       "descriptors."},
      {EventId::kAcceptRecovered, "accept_recovered", Level::kInfo,
       "Connections are accepted again."},
      {EventId::kRequestEnded, "request_ended", Level::kInfo,
       "A request ended with a response."},
      {EventId::kRequestRefused, "request_refused", Level::kInfo,
       "A request was refused or failed; the outcome says whether it ran."},
      {EventId::kRequestRetried, "request_retried", Level::kInfo,
       "A request is retried on another endpoint."},
      {EventId::kAnswerCut, "answer_cut", Level::kWarning,
       "A response ended before it was complete; the caller was notified."},
      {EventId::kAnswerResumed, "answer_resumed", Level::kInfo,
       "A response is resumed from an offset."},
      {EventId::kKeyConflict, "key_conflict", Level::kWarning,
       "An idempotency key was reused with a different request."},
      {EventId::kHandlerFailed, "handler_failed", Level::kError,
       "A request handler failed with an internal error; the connection was "
       "closed."},
      {EventId::kAttemptFailed, "attempt_failed", Level::kInfo,
       "An attempt did not return a complete response."},
      {EventId::kEndpointLost, "endpoint_lost", Level::kWarning,
       "The endpoint dropped its connections."},
      {EventId::kEndpointBack, "endpoint_back", Level::kInfo,
       "The endpoint responds again."},
      {EventId::kEndpointLeaving, "endpoint_leaving", Level::kInfo,
       "The endpoint accepts no new work."},
      {EventId::kEndpointLimited, "endpoint_limited", Level::kInfo,
       "An endpoint has named a limit of requests a second for all gateways "
       "together, or ended it (0)."},
      {EventId::kEndpointResting, "endpoint_resting", Level::kInfo,
       "An endpoint has turned a request away and asked this gateway for a "
       "time without requests."},
      {EventId::kWorkSuspected, "work_suspected", Level::kWarning,
       "Work was running when an endpoint was lost; from now on it runs in "
       "isolation."},
      {EventId::kWorkQuarantined, "work_quarantined", Level::kWarning,
       "Work reached the crash limit and is refused from now on."},
      {EventId::kWorkCleared, "work_cleared", Level::kInfo,
       "Suspected work completed and is no longer suspected."},
      {EventId::kWorkDoubtful, "work_doubtful", Level::kWarning,
       "Endpoints crashed while they ran the work and none has survived it "
       "since; its attempts are limited over all gateways."},
      {EventId::kOrderApplied, "order_applied", Level::kInfo,
       "An order was applied to the endpoint."},
      {EventId::kOrderRefused, "order_refused", Level::kWarning,
       "An order was refused; the event gives the reason."},
      {EventId::kGroupLead, "group_lead", Level::kInfo,
       "This process became, or stopped being, the leader of its group."},
      {EventId::kMapPlanned, "map_planned", Level::kInfo,
       "A better expert map was planned; the ranks are asked to switch to it."},
      {EventId::kMapChanged, "map_changed", Level::kInfo,
       "All ranks use the new expert map."},
      {EventId::kMapAbandoned, "map_abandoned", Level::kWarning,
       "A switch to a new expert map was aborted; the old map stays in use."},
      {EventId::kEngineUnreadable, "engine_unreadable", Level::kWarning,
       "The state of a rank's engine can't be read."},
      {EventId::kEngineReadable, "engine_readable", Level::kInfo,
       "The state of a rank's engine can be read again."},
  };
  return rows;
}

void StartLog() {
  spdlog::init_thread_pool(kMaxQueuedLines, 1);
  // The queue drops its oldest lines when the output is blocked, so that the
  // process never waits for its log.
  spdlog::set_default_logger(
      spdlog::create_async_nb<spdlog::sinks::stdout_sink_mt>("events"));
}

bool StopLog(Millis timeout) {
  std::packaged_task<void()> shut_down(spdlog::shutdown);
  const std::future<void> done = shut_down.get_future();
  std::thread thread(std::move(shut_down));
  if (done.wait_for(timeout) == std::future_status::ready) {
    thread.join();
    return true;
  }
  // It waits for a reader of the output, who may never come.
  thread.detach();
  return false;
}

void SetLogLevel(std::string_view level) {
  spdlog::set_level(spdlog::level::from_str(std::string(level)));
  spdlog::set_pattern("%Y-%m-%dT%H:%M:%S.%eZ %l %v",
                      spdlog::pattern_time_type::utc);
}

void LogEvent(EventId id, const EventFields& fields) {
  const EventRow& row = FindRow(id);
  if (!spdlog::should_log(SpdlogLevel(row.level))) return;
  std::string line = fmt::format("BL{:04} {}", static_cast<int>(id), row.name);
  for (const auto& [key, value] : fields)
    line += fmt::format(" {}=\"{}\"", key, SanitizeFieldValue(value));
  spdlog::log(SpdlogLevel(row.level), "{}", line);
}

std::string_view EventName(EventId id) { return FindRow(id).name; }

std::string FieldOf(const EventFields& fields, std::string_view name) {
  for (const auto& [key, value] : fields) {
    if (key == name) return value;
  }
  return "";
}

}  // namespace banyanlane::kernel
