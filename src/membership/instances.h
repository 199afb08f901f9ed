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

enum class InstanceRole { kEntry, kEndpoint };

/// State of an instance as published by the platform.
enum class InstanceState { kLive, kLeaving };

/// Returns the published name of `role`.
std::string_view InstanceRoleName(InstanceRole role);
/// Returns the published name of `state`.
std::string_view InstanceStateName(InstanceState state);

/// Instance as published by the platform.
struct Instance {
  std::string id;
  InstanceRole role = InstanceRole::kEntry;
  InstanceState state = InstanceState::kLive;
  /// Address where an entry accepts requests. For an endpoint, the address of
  /// its agent, or of the endpoint itself where gateways call it directly.
  std::string address;
  std::string failure_domain;
  /// Model or plain service that an endpoint serves.
  std::string service;
  /// Maximum number of concurrent requests of an endpoint, or 0 if unknown.
  std::int64_t slots = 0;
  /// Number that differs between the starts of an endpoint under the same id,
  /// or 0 if unknown.
  std::int64_t incarnation = 0;
};

/// One version of the instance list of the platform.
struct InstanceList {
  std::uint64_t version = 0;
  std::string text;  ///< Published text, for forwarding to peers.
  std::vector<Instance> instances;

  /// Returns the instances of `role` in any state.
  std::vector<Instance> OfRole(InstanceRole role) const;
};

using InstanceListPtr = std::shared_ptr<const InstanceList>;

/// Returns an instance list in the JSON format that ParseInstanceList reads.
std::string FormatInstanceList(std::uint64_t version,
                               const std::vector<Instance>& instances);

/// Parses an instance list in the JSON format that the platform publishes.
/// @return the list, or an error if the text is malformed.
kernel::Result<InstanceList> ParseInstanceList(std::string_view text);

/// Stores the newest instance list that this process has received.
class IMembership {
 public:
  virtual ~IMembership() = default;

  /// Returns the newest list, or null if there is none yet.
  virtual InstanceListPtr Current() const = 0;

  /// Adopts the list in `text` if it is well formed and newer than the current
  /// one.
  /// @param source sender of the list, for the log.
  /// @return whether the list was adopted.
  virtual bool Offer(std::string_view text, std::string_view source,
                     kernel::TimePoint now) = 0;

  /// Registers `observer`, which is called with each adopted list.
  virtual void Subscribe(
      std::function<void(const InstanceListPtr&)> observer) = 0;
};

}  // namespace banyanlane::membership
