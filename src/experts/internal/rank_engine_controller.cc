#include "experts/internal/rank_engine_controller.h"

#include <algorithm>

#include "kernel/boot_clock.h"
#include "kernel/event_log.h"

namespace banyanlane::experts {

RankHand::RankHand(std::string address, std::shared_ptr<IRankEngine> engine,
                   const RankPollLimits& limits,
                   std::function<void()> on_change)
    : address(std::move(address)),
      engine(std::move(engine)),
      limits(limits),
      on_change(std::move(on_change)),
      agent(RankAgentLimits{}) {}

void RankHand::Tick(kernel::TimePoint now) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->Poll(now);
  this->Act(now);
}

void RankHand::OnCommand(const link::SwitchCommand& command,
                         kernel::TimePoint now) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->agent.OnCommand(command, now);
  this->Act(now);
}

void RankHand::LookSoon(kernel::TimePoint now) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->next_report = std::min(this->next_report, now);
}

std::optional<link::RankStatus> RankHand::Status(kernel::TimePoint now) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  return this->agent.Status(now);
}

std::optional<RankReport> RankHand::Report() {
  const std::lock_guard<std::mutex> lock(this->mutex);
  return this->report;
}

void RankHand::Poll(kernel::TimePoint now) {
  if (this->reading_report || now < this->next_report) return;
  this->reading_report = true;
  this->next_report =
      now + (this->agent.IsBusy(now) ? this->limits.busy : this->limits.calm);
  this->engine->ReadReport([self = this->shared_from_this()](
                               const kernel::Result<RankReport>& result) {
    self->OnReport(result);
  });
}

void RankHand::Act(kernel::TimePoint now) {
  const auto order = this->agent.NextOrder(now);
  if (!order) return;
  this->engine->Order(order->order, order->epoch, order->fence,
                      RankAgentLimits{}.order,
                      [self = this->shared_from_this()](OrderOutcome outcome) {
                        self->OnOrderOutcome(outcome);
                      });
}

void RankHand::OnReport(const kernel::Result<RankReport>& result) {
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->reading_report = false;
    this->NoteRead(kernel::ErrorOf(result));
    const auto* read = std::get_if<RankReport>(&result);
    if (read == nullptr) return;
    this->report = *read;
    this->agent.OnReport(*read);
    if (this->agent.NeedsExperts() && !this->reading_experts) {
      this->reading_experts = true;
      this->engine->ReadExperts(
          [self = this->shared_from_this()](
              const kernel::Result<RankExperts>& experts) {
            self->OnExperts(experts);
          });
    }
    this->Act(kernel::BootNow());
  }
  this->on_change();
}

void RankHand::NoteRead(const kernel::Error* error) {
  const bool lost_now = error != nullptr;
  if (lost_now == this->is_lost) return;
  this->is_lost = lost_now;
  if (lost_now) {
    kernel::LogEvent(
        kernel::EventId::kEngineUnreadable,
        {{"engine", this->address}, {"reason", kernel::Describe(*error)}});
  } else {
    kernel::LogEvent(kernel::EventId::kEngineReadable,
                     {{"engine", this->address}});
  }
}

void RankHand::OnExperts(const kernel::Result<RankExperts>& result) {
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->reading_experts = false;
    this->NoteRead(kernel::ErrorOf(result));
    const auto* read = std::get_if<RankExperts>(&result);
    if (read == nullptr) return;
    this->agent.OnExperts(*read);
    this->Act(kernel::BootNow());
  }
  this->on_change();
}

void RankHand::OnOrderOutcome(OrderOutcome outcome) {
  const auto now = kernel::BootNow();
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->agent.OnOrderOutcome(outcome, now);
  // Only the report tells what the order has done.
  this->next_report = now;
  this->Poll(now);
}

}  // namespace banyanlane::experts
