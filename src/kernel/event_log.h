#pragma once

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace banyanlane::kernel {

/// Numbered log events; docs/EVENTS.md is their catalogue.
enum class EventId {
  kProcessStarted = 100,
  kProcessReady = 101,
  kStopRequested = 102,
  kStopWaiting = 103,
  kProcessStopped = 104,
  kSettingsReloaded = 105,
  kSettingsRefused = 106,
  kConfigAdopted = 200,
  kConfigRefused = 201,
  kConfigSuperseded = 202,
  kPlatformUnreachable = 203,
  kPlatformRecovered = 204,
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
  kWorkSuspected = 510,
  kWorkQuarantined = 511,
  kWorkCleared = 512,
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

/// Catalogue row of one event.
struct EventRow {
  EventId id;
  std::string_view name;
  Level level;
  std::string_view meaning;
};

/// Fields of one event, in the order written.
using EventFields = std::vector<std::pair<std::string, std::string>>;

/// Returns the name of `id` in the catalogue.
std::string_view EventName(EventId id);

/// Returns the value of the field `name`, or "".
std::string FieldOf(const EventFields& fields, std::string_view name);

/// Returns every event, in order of number.
const std::vector<EventRow>& EventCatalogue();

/// Writes from now on in a thread of its own, so that no other waits for it.
void StartLog();

/// Writes what is still queued, and ends the log.
void StopLog();

/// Sets the lowest level written: "debug", "info", "warning" or "error".
void SetLogLevel(std::string_view level);

/// Writes one line: number, name, then the fields as key=value.
void LogEvent(EventId id, const EventFields& fields);

}  // namespace banyanlane::kernel
