#include "soak/loss_judge.h"

#include <algorithm>
#include <array>

namespace banyanlane::soak {
namespace {

/// Requests sent up to this time after a stop began may still be at work when
/// it ends.
constexpr kernel::Millis kNoticeTime{3'000};
/// A stop's last part, as a fraction of the grace period, in which such work
/// may be cut.
constexpr int kLastPart = 6;
constexpr kernel::Millis kStopMargin{1'000};

constexpr std::array<std::string_view, 5> kEndingNames = {
    "complete", "truncated", "no_response", "caller_left", "not_connected"};
constexpr std::array<std::string_view, 4> kWorkNames = {
    "none", "stop", "reload", "configuration"};

bool IsPromiseNotRun(int status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

bool IsCut(const SentRequest& request) {
  return request.ending == Ending::kTruncated ||
         request.ending == Ending::kNoResponse;
}

}  // namespace

std::string_view EndingName(Ending ending) {
  return kEndingNames.at(static_cast<std::size_t>(ending));
}

std::string_view PlannedWorkName(PlannedWork work) {
  return kWorkNames.at(static_cast<std::size_t>(work));
}

void LossJudge::OnArrival(const std::string& id, kernel::TimePoint now) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->arrivals[id].push_back({now, std::nullopt});
}

void LossJudge::OnRun(const std::string& id) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  ++this->runs[id];
}

void LossJudge::OnServerDone(const std::string& id, kernel::TimePoint now) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  for (Arrival& arrival : this->arrivals[id]) {
    if (arrival.done_at) continue;
    arrival.done_at = now;
    return;
  }
}

void LossJudge::OnEnded(SentRequest request) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->requests.push_back(std::move(request));
}

void LossJudge::OnPlannedWork(PlannedWork work, const std::string& gateway,
                              kernel::TimePoint now) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->works.push_back({work, gateway, now});
}

std::optional<LossJudge::Work> LossJudge::WorkAround(
    const SentRequest& request) const {
  std::optional<Work> latest;
  for (const Work& work : this->works) {
    const bool is_for_it =
        work.gateway.empty() || work.gateway == request.gateway;
    const kernel::Millis length = work.work == PlannedWork::kStop
                                      ? bounds.grace_period + kStopMargin
                                  : work.work == PlannedWork::kReload
                                      ? bounds.configuration
                                      : bounds.configuration + kStopMargin;
    const bool covers =
        request.sent_at <= work.at + length && request.ended_at >= work.at;
    if (is_for_it && covers) latest = work;
  }
  return latest;
}

bool LossJudge::WasAtWork(const SentRequest& request) const {
  const auto found = this->arrivals.find(request.id);
  if (found == this->arrivals.end()) return false;
  const auto& [id, all] = *found;
  return std::any_of(all.begin(), all.end(), [&](const Arrival& arrival) {
    return arrival.at <= request.ended_at &&
           (!arrival.done_at || *arrival.done_at >= request.ended_at);
  });
}

bool LossJudge::IsExcused(const SentRequest& request,
                          const std::optional<Work>& work) const {
  const kernel::Millis timeout = request.spec->route_timeout;
  const auto elapsed = request.ended_at - request.sent_at;
  if (request.ended_at >= request.deadline) return true;
  if (timeout.count() > 0 && elapsed >= timeout) return true;
  if (!work || work->work != PlannedWork::kStop) return false;
  const auto last_part =
      work->at + bounds.grace_period - bounds.grace_period / kLastPart;
  return request.sent_at <= work->at + kNoticeTime &&
         request.ended_at >= last_part && this->WasAtWork(request);
}

std::optional<Finding> LossJudge::FindLoss(const SentRequest& request) const {
  Finding finding;
  finding.request = request;
  const bool was_passed_on = this->arrivals.count(request.id) > 0;
  finding.was_passed_on = was_passed_on;
  const auto runs = this->runs.find(request.id);
  const int run_count = runs == this->runs.end() ? 0 : runs->second;
  const auto work = this->WorkAround(request);
  if (work) {
    finding.work = work->work;
    finding.since_work =
        kernel::Millis(kernel::MillisBetween(work->at, request.ended_at));
  }
  const bool is_complete = request.ending == Ending::kComplete;
  if (request.spec->kind == RequestKind::kUnrepeatable && run_count > 1) {
    finding.rule = "run twice";
    return finding;
  }
  if (request.spec->kind == RequestKind::kUnrepeatable && is_complete &&
      IsPromiseNotRun(request.status) && run_count > 0) {
    finding.rule = "called not run";
    return finding;
  }
  if (is_complete && request.status == 200 && !request.has_whole_body) {
    finding.rule = "partial response shown as whole";
    return finding;
  }
  if (!IsCut(request) || this->IsExcused(request, work)) return std::nullopt;
  const bool was_read =
      was_passed_on || request.ended_at - request.sent_at > bounds.unread_slack;
  if (!was_read) return std::nullopt;
  finding.rule = "lost";
  return finding;
}

std::vector<Finding> LossJudge::Findings() const {
  const std::lock_guard<std::mutex> lock(this->mutex);
  std::vector<Finding> findings;
  for (const SentRequest& request : this->requests) {
    if (auto finding = this->FindLoss(request))
      findings.push_back(std::move(*finding));
  }
  return findings;
}

std::string LossJudge::Summary() const {
  const std::lock_guard<std::mutex> lock(this->mutex);
  std::map<std::string, int> counts;
  for (const SentRequest& request : this->requests) {
    ++counts[request.spec->name + " " +
             std::string(EndingName(request.ending)) + " " +
             std::to_string(request.status)];
  }
  std::string text;
  for (const auto& [name, count] : counts)
    text += name + ": " + std::to_string(count) + "\n";
  return text;
}

std::size_t LossJudge::RequestCount() const {
  const std::lock_guard<std::mutex> lock(this->mutex);
  return this->requests.size();
}

}  // namespace banyanlane::soak
