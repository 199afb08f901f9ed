#include "app/process_signals.h"

#include <ctime>

namespace banyanlane::app {
namespace {

constexpr std::int64_t kMillisPerSecond = 1'000;
constexpr std::int64_t kNanosPerMilli = 1'000'000;

}  // namespace

ProcessSignals::ProcessSignals() {
  sigemptyset(&this->signals);
  for (const int signal : {SIGTERM, SIGINT, SIGHUP})
    sigaddset(&this->signals, signal);
  pthread_sigmask(SIG_BLOCK, &this->signals, nullptr);
}

std::optional<int> ProcessSignals::Wait(kernel::Millis timeout) const {
  timespec limit{};
  limit.tv_sec = timeout.count() / kMillisPerSecond;
  limit.tv_nsec = timeout.count() % kMillisPerSecond * kNanosPerMilli;
  const int received = sigtimedwait(&this->signals, nullptr, &limit);
  return received > 0 ? std::optional(received) : std::nullopt;
}

bool ProcessSignals::IsStopPending() const {
  sigset_t pending{};
  sigpending(&pending);
  return sigismember(&pending, SIGTERM) == 1 ||
         sigismember(&pending, SIGINT) == 1;
}

}  // namespace banyanlane::app
