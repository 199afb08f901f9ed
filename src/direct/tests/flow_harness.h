#pragma once

#include <memory>
#include <string>
#include <utility>

#include "direct/internal/direct_flow.h"

namespace banyanlane::direct {

inline constexpr std::uint64_t kNumber = 1;
inline constexpr kernel::TimePoint kStart =
    kernel::TimePoint{} + std::chrono::hours(1);

inline membership::InstanceList ListOf(int endpoints) {
  membership::InstanceList list;
  for (int i = 0; i < endpoints; ++i) {
    membership::Instance instance;
    instance.id = "e" + std::to_string(i);
    instance.role = membership::InstanceRole::kEndpoint;
    instance.address = "10.0.0.1:" + std::to_string(i + 1);
    instance.failure_domain = "a";
    instance.service = "model";
    instance.slots = 2;
    list.instances.push_back(instance);
  }
  return list;
}

inline config::Profile ProfileOf(bool streaming, bool repeatable) {
  config::Profile profile;
  profile.name = "p";
  profile.service = "model";
  profile.streaming = streaming;
  profile.resumable = streaming && repeatable;
  profile.repeatable = !streaming && repeatable;
  profile.attempts = 2;
  profile.deadline_ms = 8'000;
  profile.latency_goal_ms = 500;
  return profile;
}

inline ResponseHead HeadOf(int status) {
  ResponseHead head;
  head.status = status;
  head.is_signed = true;
  head.request_id = "r";
  return head;
}

/// One flow with its pool, retries and queue, and all actions it has returned.
class FlowHarness {
 public:
  FlowHarness(bool streaming, bool repeatable, int endpoints = 3,
              RetryLimits retry_limits = {0.2, kernel::Millis(10'000), 100,
                                          1.0},
              limits::IRateLimits* rate_limits = nullptr)
      : pool(
            "a", PoolLimits{}, 1, [](const std::string&) { return 0; },
            [](const std::string&) { return 1.0; }, rate_limits),
        retries(retry_limits, kernel::TimePoint{}) {
    this->pool.OnInstances(ListOf(endpoints));
    auto snapshot = std::make_shared<config::ConfigSnapshot>();
    snapshot->profiles["p"] = ProfileOf(streaming, repeatable);
    DirectRequest direct_request;
    direct_request.config = snapshot;
    direct_request.profile = &snapshot->profiles.at("p");
    direct_request.service = "model";
    direct_request.request_id = "r";
    direct_request.work_keys = {"work"};
    direct_request.deadline_ms = 8'000;
    this->flow = std::make_unique<DirectFlow>(
        DirectContext{this->pool, this->retries, this->queue, this->attribution,
                      1, DirectLimits{}, rate_limits},
        std::move(direct_request), kNumber);
  }

  void Apply(DirectActions actions) {
    for (DirectAction& action : actions) {
      if (const auto* release = std::get_if<ReleaseEndpoint>(&action))
        this->pool.Release(release->endpoint, release->result, kStart);
      this->actions.push_back(std::move(action));
    }
  }

  template <typename Action>
  const Action* Last() const {
    for (auto it = this->actions.rbegin(); it != this->actions.rend(); ++it) {
      if (const auto* found = std::get_if<Action>(&*it)) return found;
    }
    return nullptr;
  }

  template <typename Action>
  int Count() const {
    int count = 0;
    for (const DirectAction& action : this->actions)
      count += std::holds_alternative<Action>(action) ? 1 : 0;
    return count;
  }

  std::string SentText() const {
    std::string text;
    for (const DirectAction& action : this->actions) {
      if (const auto* events = std::get_if<SendEvents>(&action))
        text += events->text;
    }
    return text;
  }

  /// Returns whether the queue names this request as the next one to send.
  bool IsNextInQueue() {
    return this->queue.NextRequest("model", {}, kStart) == kNumber;
  }

  /// Uses up the capacity of all endpoints.
  void FillAllEndpoints() {
    while (this->pool.Choose("model", {}, kStart)) {
    }
  }

  /// Ends a request at an endpoint that the flow has not tried.
  void FreeOneSlotElsewhere() {
    const auto tried = this->Last<CallEndpoint>()->endpoint.id;
    const std::string other = tried == "e0" ? "e1" : "e0";
    this->pool.Release({other, "", "model"}, AttemptResult::kCompleted, kStart);
  }

  EndpointPool pool;
  RetryAllowance retries;
  RequestQueue queue;
  evidence::CrashAttribution attribution{"g", evidence::AttributionLimits{}};
  std::unique_ptr<DirectFlow> flow;
  DirectActions actions;
};

}  // namespace banyanlane::direct
