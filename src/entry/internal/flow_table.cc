#include "entry/internal/flow_table.h"

#include <algorithm>

namespace banyanlane::entry {

void FlowTable::Add(const std::string& id, const RunnerPtr& runner) {
  this->runners.With(id, [&runner](std::vector<RunnerPtr>& following) {
    following.push_back(runner);
  });
}

void FlowTable::Remove(const std::string& id, const RunnerPtr& runner) {
  this->runners.EraseKeyIf(id, [&runner](std::vector<RunnerPtr>& following) {
    following.erase(std::remove(following.begin(), following.end(), runner),
                    following.end());
    return following.empty();
  });
}

std::vector<RunnerPtr> FlowTable::Following(const std::string& id) {
  return this->runners.Find(id).value_or(std::vector<RunnerPtr>{});
}

std::vector<RunnerPtr> FlowTable::All() {
  std::vector<RunnerPtr> all;
  for (const auto& following : this->runners.Values()) {
    all.insert(all.end(), following.begin(), following.end());
  }
  return all;
}

}  // namespace banyanlane::entry
