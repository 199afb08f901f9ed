#include <criterion/criterion.h>

#include <functional>

#include "agent/internal/agent_service.h"
#include "config/i_config.h"

namespace banyanlane::agent {
namespace {

constexpr std::uint64_t kIncarnation = 9;

/// Runtime whose calls get no response.
class SilentRuntime : public http::IHttpRuntime {
 public:
  kernel::Result<std::shared_ptr<http::IHttpServer>> Listen(
      const std::string& /*address*/,
      std::shared_ptr<http::IHttpHandler> /*handler*/,
      const http::ServerLimits& /*limits*/) override {
    return std::shared_ptr<http::IHttpServer>();
  }
  std::shared_ptr<http::IHttpCall> Call(
      const std::string& /*address*/, http::HttpRequest /*request*/,
      const http::CallLimits& /*limits*/,
      std::shared_ptr<http::IHttpCallObserver> /*observer*/) override {
    return nullptr;
  }
  void CheckConnection(
      const std::string& /*address*/, kernel::Millis /*timeout*/,
      std::function<void(http::ConnectionCheck)> /*report*/) override {}
  void Every(kernel::Millis /*period*/,
             std::function<void(kernel::TimePoint)> /*task*/) override {}
  void Start(int /*threads*/) override {}
  void Stop() override {}
};

/// Link to an entry.
class EntryLink : public link::ILink {
 public:
  std::uint64_t id() const override { return 1; }
  const link::Hello& peer() const override { return this->hello; }
  bool Send(const link::Message& message) override {
    if (const auto* ended = std::get_if<link::Ended>(&message)) {
      this->outcome = ended->outcome;
      this->on_ended();
    }
    return true;
  }
  void Close(std::string_view /*reason*/) override {}

  std::function<void()> on_ended = [] {};
  std::optional<link::Outcome> outcome;

 private:
  link::Hello hello;
};

void Publish(AgentService& service, const std::string& deadline_ms) {
  auto parsed = config::ParseConfig(
      "[profile:chat]\nclass = chat\nservice = model\ndeadline_ms = " +
          deadline_ms + "\n",
      "test");
  service.OnConfig(std::make_shared<config::ConfigSnapshot>(
      std::get<config::ConfigSnapshot>(std::move(parsed))));
}

std::shared_ptr<AgentService> MakeService() {
  const AgentIdentity identity{"a1", kIncarnation, kernel::Clock::now(),
                               "model"};
  const auto service = std::make_shared<AgentService>(
      std::make_unique<AgentCore>(identity, AgentLimits{}, MakeFullCharge()),
      "", "", std::make_shared<SilentRuntime>(),
      std::make_shared<kernel::AuditTrail>(),
      std::make_shared<kernel::Metrics>());
  Publish(*service, "60000");
  return service;
}

link::Submit SubmitOf(const std::string& request) {
  link::Submit submit;
  submit.request = request;
  submit.attempt = 1;
  submit.incarnation = kIncarnation;
  submit.profile = "chat";
  submit.organisation = "org";
  submit.start_by_ms = 60'000;
  submit.deadline_ms = 60'000;
  return submit;
}

}  // namespace

// Guards against a stop that ends before the last message has been sent.
Test(stopping_agent, waits_until_the_end_of_a_response_is_sent) {
  const auto service = MakeService();
  const auto link = std::make_shared<EntryLink>();
  service->OnLinkUp(link, kernel::Clock::now());
  service->OnLeaving("stop requested", kernel::Clock::now());
  std::size_t unfinished = 0;
  link->on_ended = [&] { unfinished = service->UnfinishedCount(); };
  service->OnMessage(link, SubmitOf("r.1"), kernel::Clock::now());
  cr_expect_eq(link->outcome, link::Outcome::kNotRun);
  cr_expect_gt(unfinished, 0);
  cr_expect_eq(service->UnfinishedCount(), 0);
}

// Guards against requests that cross the news of a stop and get no response.
Test(stopping_agent, refuses_work_until_entries_know_of_its_stop) {
  const auto service = MakeService();
  const auto link = std::make_shared<EntryLink>();
  const auto began = kernel::Clock::now();
  service->OnLinkUp(link, began);
  service->BeginStop(began);
  cr_expect_neq(service->Pending(0, began), "");
  service->OnMessage(link, SubmitOf("r.1"), began);
  cr_expect_eq(link->outcome, link::Outcome::kNotRun);
  const auto later = began + kernel::Millis(1'000);
  cr_expect_neq(service->Pending(1, later), "");
  cr_expect_eq(service->Pending(0, later), "");
}

// Guards against a stop that a configuration with shorter deadlines ends early.
Test(stopping_agent, keeps_the_deadlines_that_work_was_accepted_with) {
  const auto service = MakeService();
  const auto link = std::make_shared<EntryLink>();
  const auto began = kernel::Clock::now();
  service->OnLinkUp(link, began);
  service->OnMessage(link, SubmitOf("r.1"), began);
  service->BeginStop(began);
  Publish(*service, "1000");
  cr_expect_neq(service->Pending(0, began + kernel::Millis(30'000)), "");
}

}  // namespace banyanlane::agent
