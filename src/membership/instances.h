#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "kernel/result.h"
#include "kernel/time.h"

namespace banyanlane::membership {

/// What an instance does for the system.
enum class InstanceRole { kEntry, kEndpoint };

/// State in which the platform lists an instance.
enum class InstanceState { kLive, kLeaving };

std::string_view InstanceRoleName(InstanceRole role);
std::string_view InstanceStateName(InstanceState state);

/// One listed instance.
struct Instance {
  std::string id;
  InstanceRole role = InstanceRole::kEntry;
  InstanceState state = InstanceState::kLive;
  std::string address;  ///< Entries: where callers connect. Endpoints: where
                        ///< the agent listens.
  std::string failure_domain;
  std::string service;  ///< Endpoints: the model or plain service they serve.
  std::int64_t slots = 0;  ///< Endpoints: requests run at a time; 0: unknown.
};

/// One version of the platform's list.
struct InstanceList {
  std::uint64_t version = 0;
  std::string text;  ///< As published, for relaying.
  std::vector<Instance> instances;

  /// Returns the instances of `role` in any state.
  std::vector<Instance> OfRole(InstanceRole role) const;
};

using InstanceListPtr = std::shared_ptr<const InstanceList>;

/// Writes the text that ParseInstanceList reads.
std::string FormatInstanceList(std::uint64_t version,
                               const std::vector<Instance>& instances);

/// Parses the JSON text that the platform publishes.
kernel::Result<InstanceList> ParseInstanceList(std::string_view text);

/// Holds the newest list of instances that this process has seen.
class IMembership {
 public:
  virtual ~IMembership() = default;

  /// Returns the newest list, or null before the first.
  virtual InstanceListPtr Current() const = 0;

  /// Takes `text` if it is well formed and newer. @return whether it was taken.
  virtual bool Offer(std::string_view text, std::string_view source,
                     kernel::TimePoint now) = 0;

  /// Calls `observer` after each change.
  virtual void Subscribe(
      std::function<void(const InstanceListPtr&)> observer) = 0;
};

}  // namespace banyanlane::membership
