#pragma once

#include <memory>
#include <string>
#include <vector>

#include "entry/internal/flow_runner.h"
#include "kernel/sharded_map.h"

namespace banyanlane::entry {

using RunnerPtr = std::shared_ptr<FlowRunner>;

/// Table of an entry's flows by the flow id in their messages. A caller that
/// resumes a response adds a second flow with the same id.
class FlowTable {
 public:
  void Add(const std::string& id, const RunnerPtr& runner);
  void Remove(const std::string& id, const RunnerPtr& runner);

  /// Returns the runners of the flows with `id`.
  std::vector<RunnerPtr> Find(const std::string& id);
  std::vector<RunnerPtr> All();

  /// Returns the number of distinct flow ids.
  std::size_t Size() { return this->runners.Size(); }

 private:
  kernel::ShardedMap<std::string, std::vector<RunnerPtr>> runners;
};

}  // namespace banyanlane::entry
