#pragma once

#include <memory>
#include <string>
#include <vector>

#include "entry/internal/flow_runner.h"
#include "kernel/sharded_map.h"

namespace banyanlane::entry {

using RunnerPtr = std::shared_ptr<FlowRunner>;

/// The flows of an entry, by the id on their frames. A caller who returns adds
/// a second flow for the same answer.
class FlowTable {
 public:
  void Add(const std::string& id, const RunnerPtr& runner);
  void Remove(const std::string& id, const RunnerPtr& runner);

  /// Returns the flows that follow the answer `id`.
  std::vector<RunnerPtr> Following(const std::string& id);
  std::vector<RunnerPtr> All();

  /// Returns the number of answers followed.
  std::size_t Size() { return this->runners.Size(); }

 private:
  kernel::ShardedMap<std::string, std::vector<RunnerPtr>> runners;
};

}  // namespace banyanlane::entry
