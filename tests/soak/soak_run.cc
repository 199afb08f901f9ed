#include "soak/soak_run.h"

#include <csignal>
#include <sstream>

namespace banyanlane::soak {
namespace {

constexpr kernel::Millis kPollInterval{20};
constexpr kernel::Millis kWatchInterval{250};
constexpr kernel::Millis kStartPause{500};
/// Time after the run in which the last requests end.
constexpr kernel::Millis kMaxTail{20'000};
constexpr std::size_t kMaxLogLines = 200;
/// Share of the stops in which the settings change at the same time.
constexpr double kReloadShare = 0.3;

}  // namespace

SoakRun::SoakRun(SoakOptions options)
    : options(std::move(options)),
      judge(LossBounds{this->options.mix.grace_period,
                       this->options.unread_slack}),
      fleet(this->options.mix, this->options.processes),
      random(this->options.seed) {}

SoakReport SoakRun::Run() {
  this->fleet.StartAll();
  for (const ServiceSpec& service : this->options.mix.services) {
    for (const std::string& id : this->fleet.ServersOf(service)) {
      this->servers.push_back(std::make_shared<SoakServer>(
          this->io, this->judge, service, id, this->fleet.Address(id)));
      this->servers.back()->Start();
    }
  }
  for (const std::string& gateway : this->fleet.gateways()) {
    processes::Fleet::Await([&] { return this->fleet.IsReady(gateway); });
  }
  this->end = kernel::Clock::now() + this->options.duration;
  this->StartTraffic();
  asio::spawn(this->io, [this](asio::yield_context yield) {
    this->DoPlannedWork(yield);
  });
  asio::spawn(this->io, [this](asio::yield_context yield) {
    this->WatchProcesses(yield);
  });
  const auto last = this->end + kMaxTail;
  while (kernel::Clock::now() < last) {
    this->io.run_for(kWatchInterval);
    if (this->HasEnded() && this->in_flight == 0 && this->restarting.empty())
      break;
  }
  this->report.findings = this->judge.Findings();
  this->report.summary = this->judge.Summary();
  this->report.requests = this->judge.RequestCount();
  this->CollectLogLines();
  return this->report;
}

void SoakRun::StartTraffic() {
  for (int i = 0; i < this->options.mix.callers; ++i) {
    this->callers.push_back(std::make_shared<SoakCaller>(
        this->io, this->judge, this->fleet.directory(), "c" + std::to_string(i),
        this->random()));
  }
  for (const RequestSpec& spec : this->options.mix.requests) {
    asio::spawn(this->io, [this, &spec](asio::yield_context yield) {
      this->SendClass(spec, yield);
    });
  }
}

void SoakRun::SendClass(const RequestSpec& spec, asio::yield_context yield) {
  std::exponential_distribution<double> gap(spec.per_second);
  while (!this->HasEnded()) {
    constexpr double kMillisPerSecond = 1'000;
    this->Pause(
        kernel::Millis(static_cast<int>(gap(this->random) * kMillisPerSecond)),
        yield);
    const auto& caller =
        this->callers[std::uniform_int_distribution<std::size_t>(
            0, this->callers.size() - 1)(this->random)];
    ++this->in_flight;
    asio::spawn(this->io, [this, caller, &spec](asio::yield_context sending) {
      caller->Send(spec, sending);
      --this->in_flight;
    });
  }
}

void SoakRun::Pause(kernel::Millis time, asio::yield_context yield) {
  asio::steady_timer timer(this->io, time);
  beast::error_code ignored;
  timer.async_wait(yield[ignored]);
}

std::string SoakRun::PickGateway() {
  const auto& names = this->fleet.gateways();
  return names[std::uniform_int_distribution<std::size_t>(
      0, names.size() - 1)(this->random)];
}

void SoakRun::DoPlannedWork(asio::yield_context yield) {
  std::exponential_distribution<double> pause(
      1.0 / static_cast<double>(this->options.plan.pause.count()));
  this->Pause(kernel::Millis(1'000), yield);
  while (!this->HasEnded()) {
    this->DoOnePieceOfWork();
    this->Pause(kernel::Millis(static_cast<int>(pause(this->random))), yield);
  }
}

void SoakRun::DoOnePieceOfWork() {
  const std::string gateway = this->PickGateway();
  // Up to a quarter of the gateways are stopped at a time, but always one.
  const std::size_t most = this->fleet.gateways().size() / 4 + 1;
  switch (std::uniform_int_distribution<int>(0, 2)(this->random)) {
    case 0:
      if (!this->options.plan.stops || this->restarting.size() >= most ||
          !this->restarting.insert(gateway).second)
        return;
      asio::spawn(this->io, [this, gateway](asio::yield_context yield) {
        this->Restart(gateway, yield);
      });
      return;
    case 1:
      if (this->options.plan.reloads) this->Reload(gateway);
      return;
    default:
      if (!this->options.plan.configurations) return;
      this->judge.OnPlannedWork(PlannedWork::kConfiguration, "",
                                kernel::Clock::now());
      this->fleet.ChangeConfiguration();
      ++this->report.configurations;
  }
}

void SoakRun::Reload(const std::string& gateway) {
  if (!this->fleet.IsRunning(gateway)) return;
  this->fleet.ChangeSettings(gateway);
  // During a stop, the stop is the planned work that counts.
  if (this->restarting.count(gateway) == 0) {
    this->judge.OnPlannedWork(PlannedWork::kReload,
                              this->fleet.Address(gateway),
                              kernel::Clock::now());
  }
  this->fleet.Signal(gateway, SIGHUP);
  ++this->report.reloads;
}

void SoakRun::Restart(const std::string& gateway, asio::yield_context yield) {
  const auto began_at = kernel::Clock::now();
  this->judge.OnPlannedWork(PlannedWork::kStop, this->fleet.Address(gateway),
                            began_at);
  this->fleet.Signal(gateway, SIGTERM);
  ++this->report.stops;
  const bool reloads = this->options.plan.reloads &&
                       std::bernoulli_distribution(kReloadShare)(this->random);
  if (reloads) this->Reload(gateway);
  while (this->fleet.IsRunning(gateway)) {
    this->Pause(kPollInterval, yield);
    const bool is_late =
        kernel::Clock::now() - began_at >= this->options.mix.grace_period;
    if (!is_late) continue;
    this->fleet.Kill(gateway);
    ++this->report.late_exits;
    break;
  }
  this->Pause(kStartPause, yield);
  this->fleet.StartGateway(gateway);
  this->Pause(kStartPause, yield);
  this->restarting.erase(gateway);
}

void SoakRun::WatchProcesses(asio::yield_context yield) {
  while (!this->HasEnded()) {
    for (const std::string& gateway : this->fleet.gateways()) {
      if (this->restarting.count(gateway) > 0) continue;
      if (!this->fleet.IsRunning(gateway)) {
        ++this->report.unplanned_ends;
        this->fleet.StartGateway(gateway);
        continue;
      }
      this->report.peak_memory_kb = std::max(this->report.peak_memory_kb,
                                             this->fleet.PeakMemory(gateway));
      this->report.peak_descriptors = std::max(
          this->report.peak_descriptors, this->fleet.DescriptorCount(gateway));
    }
    this->Pause(kWatchInterval, yield);
  }
}

void SoakRun::CollectLogLines() {
  for (const std::string& gateway : this->fleet.gateways()) {
    std::istringstream log(this->fleet.ReadLog(gateway));
    for (std::string line; std::getline(log, line);) {
      for (const Finding& finding : this->report.findings) {
        const bool matches =
            finding.request.gateway == this->fleet.Address(gateway) &&
            line.find("\"" + finding.request.id + "\"") != std::string::npos;
        if (matches && this->report.log_lines.size() < kMaxLogLines)
          this->report.log_lines.push_back(gateway + " " + line);
      }
    }
  }
}

SoakReport RunSoak(SoakOptions options) {
  return SoakRun(std::move(options)).Run();
}

std::string Describe(const SoakReport& report) {
  std::ostringstream text;
  text << report.requests << " requests, " << report.findings.size()
       << " findings, " << report.stops << " stops, " << report.reloads
       << " reloads, " << report.configurations << " configurations, "
       << report.late_exits << " late exits, " << report.unplanned_ends
       << " unplanned ends, peak " << report.peak_memory_kb << " kB and "
       << report.peak_descriptors << " descriptors\n"
       << report.summary;
  for (const Finding& finding : report.findings) {
    const SentRequest& request = finding.request;
    text << finding.rule << ": " << request.id << " " << request.spec->name
         << " at " << request.gateway << ", "
         << (request.on_kept_connection ? "kept" : "new") << " connection, "
         << (finding.was_passed_on ? "passed on" : "not passed on") << ", "
         << EndingName(request.ending) << " " << request.status << " after "
         << kernel::MillisBetween(request.sent_at, request.ended_at) << " ms, "
         << PlannedWorkName(finding.work) << " " << finding.since_work.count()
         << " ms before its end\n";
  }
  for (const std::string& line : report.log_lines) text << line << "\n";
  return text.str();
}

}  // namespace banyanlane::soak
