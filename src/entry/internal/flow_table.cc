#include "entry/internal/flow_table.h"

#include <algorithm>

namespace banyanlane::entry {

void FlowTable::Add(const std::string& id, const RunnerPtr& runner) {
  this->runners.With(id, [&runner](std::vector<RunnerPtr>& id_runners) {
    id_runners.push_back(runner);
  });
}

void FlowTable::Remove(const std::string& id, const RunnerPtr& runner) {
  this->runners.EraseKeyIf(id, [&runner](std::vector<RunnerPtr>& id_runners) {
    id_runners.erase(std::remove(id_runners.begin(), id_runners.end(), runner),
                     id_runners.end());
    return id_runners.empty();
  });
}

std::vector<RunnerPtr> FlowTable::Find(const std::string& id) {
  return this->runners.Find(id).value_or(std::vector<RunnerPtr>{});
}

std::vector<RunnerPtr> FlowTable::All() {
  std::vector<RunnerPtr> all;
  for (const auto& id_runners : this->runners.Values()) {
    all.insert(all.end(), id_runners.begin(), id_runners.end());
  }
  return all;
}

}  // namespace banyanlane::entry
