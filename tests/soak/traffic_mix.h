#pragma once

#include <string>
#include <vector>

#include "kernel/time.h"

namespace banyanlane::soak {

/// What may happen to a request more than once.
enum class RequestKind {
  kRepeatable,
  kUnrepeatable,
  kStream,  ///< Stream of events that another server can continue.
};

/// Service that gateways route to.
struct ServiceSpec {
  std::string name;
  int servers = 0;
  /// Requests that a server runs at once.
  int slots = 0;
  /// Requests that a server holds back before it refuses others.
  int queue = 0;
  /// Time of a generation step: a constant part, and a part for each request in
  /// progress, in milliseconds.
  double step_ms = 0;
  double step_ms_per_request = 0;
  int steps_per_event = 1;
  double prompt_tokens_per_ms = 1;
};

/// Class of requests that callers send.
struct RequestSpec {
  std::string name;
  std::string service;
  RequestKind kind = RequestKind::kRepeatable;
  double per_second = 0;
  /// Time that callers wait, or 0 if they name none.
  kernel::Millis deadline{0};
  /// Time limit of the route, or 0 if it has none.
  kernel::Millis route_timeout{0};
  kernel::Millis goal{0};
  kernel::Millis pause_goal{0};
  int attempts = 1;
  double mean_prompt_tokens = 0;
  double mean_events = 0;
  int max_events = 0;
  double mean_work_ms = 0;
  double mean_response_bytes = 0;
  double mean_request_bytes = 0;
};

/// Deployment and the requests of its callers.
struct TrafficMix {
  int gateways = 0;
  int callers = 0;
  kernel::Millis grace_period{0};
  std::vector<ServiceSpec> services;
  std::vector<RequestSpec> requests;
};

/// Reads a mix from a JSON file.
/// @throws std::runtime_error if the file is not a mix.
TrafficMix LoadMix(const std::string& path);

/// Returns `mix` with all rates multiplied by `factor`.
TrafficMix Scaled(TrafficMix mix, double factor);

}  // namespace banyanlane::soak
