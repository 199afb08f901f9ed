#include "experts/internal/rank_engine_controller.h"

#include <algorithm>

#include "kernel/event_log.h"

namespace banyanlane::experts {

RankEngineController::RankEngineController(std::string address,
                                           std::shared_ptr<IRankEngine> engine,
                                           const RankPollPeriods& poll_periods,
                                           kernel::BootClock clock,
                                           std::function<void()> on_change)
    : address(std::move(address)),
      engine(std::move(engine)),
      poll_periods(poll_periods),
      clock(std::move(clock)),
      on_change(std::move(on_change)),
      agent(RankAgentLimits{}) {}

void RankEngineController::Tick(kernel::TimePoint now) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->Poll(now);
  this->SendNextOrder(now);
}

void RankEngineController::OnCommand(const link::SwitchCommand& command,
                                     kernel::TimePoint now) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->agent.OnCommand(command, now);
  this->SendNextOrder(now);
}

void RankEngineController::PollSoon(kernel::TimePoint now) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->next_report_at = std::min(this->next_report_at, now);
}

void RankEngineController::BeginStop() {
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->agent.BeginStop();
}

bool RankEngineController::IsNeededForSwitch(kernel::TimePoint now) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  return this->agent.IsNeededForSwitch(now);
}

std::optional<link::RankStatus> RankEngineController::Status(
    kernel::TimePoint now) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  return this->agent.Status(now);
}

std::optional<RankReport> RankEngineController::Report() {
  const std::lock_guard<std::mutex> lock(this->mutex);
  return this->report;
}

void RankEngineController::Poll(kernel::TimePoint now) {
  if (this->reading_report || now < this->next_report_at) return;
  this->reading_report = true;
  this->next_report_at =
      now + (this->agent.HasActiveGoal(now) ? this->poll_periods.busy
                                            : this->poll_periods.idle);
  this->engine->ReadReport([self = this->shared_from_this()](
                               const kernel::Result<RankReport>& result) {
    self->OnReport(result);
  });
}

void RankEngineController::SendNextOrder(kernel::TimePoint now) {
  const auto order = this->agent.NextOrder(now);
  if (!order) return;
  this->engine->Order(order->order, order->epoch, order->fencing_token,
                      RankAgentLimits{}.order_timeout,
                      [self = this->shared_from_this()](OrderOutcome outcome) {
                        self->OnOrderOutcome(outcome);
                      });
}

void RankEngineController::OnReport(const kernel::Result<RankReport>& result) {
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->reading_report = false;
    this->LogReadability(kernel::ErrorOf(result));
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
    this->SendNextOrder(this->clock());
  }
  this->on_change();
}

void RankEngineController::LogReadability(const kernel::Error* error) {
  const bool unreadable_now = error != nullptr;
  if (unreadable_now == this->is_unreadable) return;
  this->is_unreadable = unreadable_now;
  if (unreadable_now) {
    kernel::LogEvent(
        kernel::EventId::kEngineUnreadable,
        {{"engine", this->address}, {"reason", kernel::Describe(*error)}});
  } else {
    kernel::LogEvent(kernel::EventId::kEngineReadable,
                     {{"engine", this->address}});
  }
}

void RankEngineController::OnExperts(
    const kernel::Result<RankExperts>& result) {
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->reading_experts = false;
    this->LogReadability(kernel::ErrorOf(result));
    const auto* read = std::get_if<RankExperts>(&result);
    if (read == nullptr) return;
    this->agent.OnExperts(*read);
    this->SendNextOrder(this->clock());
  }
  this->on_change();
}

void RankEngineController::OnOrderOutcome(OrderOutcome outcome) {
  const auto now = this->clock();
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->agent.OnOrderOutcome(outcome, now);
  // Only a report shows the effect of the order.
  this->next_report_at = now;
  this->Poll(now);
}

}  // namespace banyanlane::experts
