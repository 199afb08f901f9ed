#pragma once

#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "kernel/time.h"

namespace banyanlane::kernel {

/// Numbered log events, documented in docs/EVENTS.md.
enum class EventId {
  kProcessStarted = 100,
  kProcessReady = 101,
  kStopRequested = 102,
  kStopWaiting = 103,
  kProcessStopped = 104,
  kSettingsReloaded = 105,
  kSettingsRefused = 106,
  kStopClosing = 107,
  kConfigAdopted = 200,
  kConfigRefused = 201,
  kConfigSuperseded = 202,
  kPlatformUnreachable = 203,
  kPlatformRecovered = 204,
  kPlatformRestored = 205,
  kInstanceListChanged = 210,
  kInstanceListRefused = 211,
  kCatalogItemIgnored = 212,
  kLinkOpened = 300,
  kLinkClosed = 301,
  kLinkSilent = 302,
  kLinkFrameRefused = 303,
  kLinkPeerRefused = 304,
  kAcceptFailing = 310,
  kAcceptRecovered = 311,
  kRequestEnded = 400,
  kRequestRefused = 401,
  kRequestRetried = 402,
  kAnswerCut = 403,
  kAnswerResumed = 404,
  kKeyConflict = 405,
  kHandlerFailed = 406,
  kAttemptFailed = 407,
  kEndpointLost = 500,
  kEndpointBack = 501,
  kEndpointLeaving = 502,
  kEndpointLimited = 503,
  kEndpointResting = 504,
  kWorkSuspected = 510,
  kWorkQuarantined = 511,
  kWorkCleared = 512,
  kWorkDoubtful = 513,
  kOrderApplied = 520,
  kOrderRefused = 521,
  kGroupLead = 530,
  kMapPlanned = 531,
  kMapChanged = 532,
  kMapAbandoned = 533,
  kEngineUnreadable = 534,
  kEngineReadable = 535,
};

/// Severity of an event.
enum class Level { kDebug, kInfo, kWarning, kError };

/// Description of one event in the catalogue.
struct EventRow {
  EventId id;
  std::string_view name;
  Level level;
  std::string_view meaning;
};

/// Names and values of the fields of one event, in output order.
using EventFields = std::vector<std::pair<std::string, std::string>>;

/// Returns the name of `id` in the catalogue.
std::string_view EventName(EventId id);

/// Returns the value of the field `name`, or "" if there is none.
std::string FieldOf(const EventFields& fields, std::string_view name);

/// Returns the descriptions of all events, ordered by number.
const std::vector<EventRow>& EventCatalogue();

/// Starts writing the log to the standard output on a separate thread, so that
/// logging never blocks the calling thread. If the output is blocked and the
/// queue is full, the oldest queued lines are lost.
void StartLog();

/// Writes the lines that are still queued and shuts the log down.
/// @param timeout longest time that this takes.
/// @return false if the output was blocked for that long. The log must not be
/// used any more, not even by destructors.
bool StopLog(Millis timeout);

/// Sets the minimum level that is written, and the format of the lines.
/// @param level "debug", "info", "warning" or "error".
void SetLogLevel(std::string_view level);

/// Writes one line with the event number, the event name and the fields as
/// key="value", unless the level of the event is below the minimum level.
void LogEvent(EventId id, const EventFields& fields);

}  // namespace banyanlane::kernel
