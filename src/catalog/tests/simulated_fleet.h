#pragma once

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <vector>

#include "catalog/internal/follower_driver.h"

namespace banyanlane::catalog {

/// Store in simulated time. Calls that arrive or fall due while it is silent
/// get no response, also later.
class SimulatedStore {
 public:
  /// Call of one process.
  struct Call : ICatalogCall {
    void Cancel() override { this->is_over = true; }

    std::uint64_t after = 0;
    kernel::TimePoint responds_at;
    kernel::TimePoint times_out_at;
    bool is_lost = false;
    bool is_over = false;
    bool is_page = false;
    ICatalog::Receiver receive;
  };

  /// Starts a call, which is counted.
  std::shared_ptr<Call> Start(Call call, kernel::Millis wait,
                              kernel::Millis timeout, kernel::TimePoint now);
  /// Sends the responses and errors that are due.
  void Run(kernel::TimePoint now);
  /// Changes the item.
  void Change() { ++this->revision; }

  std::uint64_t revision = 1;
  bool is_silent = false;
  int calls = 0;
  int checks = 0;

 private:
  CatalogPage Respond(const Call& call) const;

  std::vector<std::shared_ptr<Call>> pending;
};

/// Gateways that follow one store and exchange versions and ages of responses
/// with each heartbeat, all in simulated time.
class SimulatedFleet {
 public:
  /// @param size number of gateways; each is linked to at most 96 others.
  SimulatedFleet(std::size_t size, std::uint64_t seed);
  ~SimulatedFleet();

  /// Lets `span` pass.
  void Run(kernel::Millis span);
  /// Restarts the process of a gateway, which then knows nothing.
  void Restart(std::size_t gateway);
  /// Cuts the links of a gateway to the others, or restores them.
  void SetCut(std::size_t gateway, bool is_cut);
  /// Lets the store answer nothing to a gateway.
  void SetDeaf(std::size_t gateway, bool is_deaf);
  /// Returns whether all gateways know the present state of the store.
  bool AllKnow() const;
  std::size_t Size() const { return this->gateways.size(); }

  SimulatedStore store;

 private:
  struct Gateway;

  /// Store as one gateway reaches it.
  class View;

  void Heartbeat(std::size_t sender);
  bool AreLinked(std::size_t left, std::size_t right) const;

  kernel::TimePoint now;
  std::minstd_rand random;
  std::vector<std::unique_ptr<Gateway>> gateways;
};

}  // namespace banyanlane::catalog
