#include "processes/cut_responses.h"

#include <criterion/criterion.h>

namespace banyanlane::processes {

std::vector<Cut> AllCutsOf(const WholeResponse& whole) {
  std::vector<Cut> cuts;
  const std::size_t size = whole.head.size() + whole.body.size();
  for (const CloseKind close : kCloseKinds) {
    for (std::size_t sent = 0; sent <= size; ++sent)
      cuts.push_back({whole, sent, close, "", nullptr});
  }
  return cuts;
}

std::string Describe(const Cut& cut) {
  return std::string(cut.whole.name) + ", " + std::to_string(cut.sent) +
         " of " + std::to_string(cut.whole.head.size()) + " + " +
         std::to_string(cut.whole.body.size()) + " bytes, " +
         NameOf(cut.close) + ": status " +
         std::to_string(cut.received->status()) + ", complete " +
         std::to_string(static_cast<int>(cut.received->complete())) + ", '" +
         cut.received->text() + "'";
}

std::optional<std::string> CompleteText(const Cut& cut) {
  const WholeResponse& whole = cut.whole;
  if (!whole.ends_with_connection) {
    const bool is_whole = cut.sent == whole.head.size() + whole.body.size();
    return is_whole ? std::optional(whole.text) : std::nullopt;
  }
  if (cut.close == CloseKind::kReset || cut.sent < whole.head.size())
    return std::nullopt;
  return whole.text.substr(0, cut.sent - whole.head.size());
}

std::string CutPlan::NextId() {
  const std::lock_guard<std::mutex> lock(this->mutex);
  return "r" + std::to_string(++this->ids);
}

void CutPlan::Set(const std::string& id, CutResponse response) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->responses[id] = std::move(response);
}

std::optional<CutResponse> CutPlan::Take(const std::string& id) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  const auto found = this->responses.find(id);
  if (found == this->responses.end()) return std::nullopt;
  ++this->runs[id];
  return found->second;
}

int CutPlan::Runs(const std::string& id) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  return this->runs[id];
}

void RequestAll(CutPlan& plan, const SendRequest& send,
                std::vector<Cut>& cuts) {
  std::vector<Cut*> pending;
  for (Cut& cut : cuts) pending.push_back(&cut);
  const bool all_arrived = Fleet::Await([&] {
    for (Cut* cut : pending) {
      cut->id = plan.NextId();
      const std::string bytes = cut->whole.head + cut->whole.body;
      plan.Set(cut->id, {bytes.substr(0, cut->sent), cut->close});
      cut->received = send(cut->id);
    }
    std::vector<Cut*> missing;
    for (Cut* cut : pending) {
      cr_assert(Fleet::Await([&] { return cut->received->finished(); }));
      if (plan.Runs(cut->id) == 0) missing.push_back(cut);
    }
    pending = missing;
    return pending.empty();
  });
  cr_assert(all_arrived, "%zu requests", pending.size());
}

}  // namespace banyanlane::processes
