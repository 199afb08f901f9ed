#include <criterion/criterion.h>

#include "config/internal/config_store.h"
#include "entry/internal/entry_service.h"
#include "kernel/hash.h"

namespace banyanlane::entry {
namespace {

constexpr kernel::Millis kAddressLifetime{10'000};
constexpr kernel::Millis kMaxDeadline{60'000};
/// Time within which a caller receives a response.
constexpr kernel::Millis kResponseTime{300};
constexpr int kUnavailable = 503;

class NoInstances : public membership::IMembership {
 public:
  membership::InstanceListPtr Current() const override { return nullptr; }
  bool Offer(std::string_view /*text*/, std::string_view /*source*/,
             kernel::TimePoint /*now*/) override {
    return false;
  }
  void Subscribe(std::function<void(const membership::InstanceListPtr&)>
                 /*observer*/) override {}
};

/// Link to an agent, which counts the work that is passed on to it.
class AgentLink : public link::ILink {
 public:
  AgentLink() {
    this->hello.role = "agent";
    this->hello.node = "m1";
    this->hello.service = "model";
    this->hello.incarnation = 1;
  }
  std::uint64_t id() const override { return 1; }
  const link::Hello& peer() const override { return this->hello; }
  bool Send(const link::Message& message) override {
    if (std::holds_alternative<link::Submit>(message)) ++this->passed_on;
    if (std::holds_alternative<link::Resume>(message)) ++this->passed_on;
    return true;
  }
  void Close(std::string_view /*reason*/) override {}

  int passed_on = 0;

 private:
  link::Hello hello;
};

class IgnoringNotifier : public http::INotifier {
 public:
  void Notify() override {}
};

/// Request of a caller who closes the connection instead of waiting.
class CallerExchange : public http::IHttpExchange {
 public:
  explicit CallerExchange(http::HttpRequest request)
      : received(std::move(request)) {}
  const http::HttpRequest& request() const override {
    if (this->on_read && ++this->reads == this->interrupted_read)
      this->on_read();
    return this->received;
  }
  http::HttpRequest TakeRequest() override { return this->received; }
  std::shared_ptr<http::INotifier> notifier() override {
    return std::make_shared<IgnoringNotifier>();
  }
  http::WakeReason Wait(kernel::TimePoint until) override {
    this->waited_until = until;
    if (this->on_wait) this->on_wait();
    return http::WakeReason::kCallerDisconnected;
  }
  std::shared_ptr<http::IResponseMemory> response_memory() override {
    return nullptr;
  }
  bool HoldMemory(std::uint64_t /*bytes*/) override { return true; }
  void CloseAfterResponse() override { this->closes = true; }
  void Reply(const http::HttpResponse& response) override {
    this->status = response.status;
    if (this->on_reply) this->on_reply();
  }
  bool BeginStream(int /*status*/, const http::Headers& /*headers*/) override {
    return false;
  }
  bool WriteChunk(std::string_view /*data*/) override { return false; }
  void EndStream() override {}
  void Abort() override {}

  std::function<void()> on_read;
  std::function<void()> on_wait;
  std::function<void()> on_reply;
  /// Number of the read at which `on_read` is called.
  int interrupted_read = 0;
  kernel::TimePoint waited_until;
  bool closes = false;
  int status = 0;

 private:
  http::HttpRequest received;
  mutable int reads = 0;
};

http::HttpRequest ChatRequest() {
  return {"POST",
          "/v1/chat/completions",
          {{"banyanlane-profile", "chat"}, {"banyanlane-organisation", "org"}},
          R"({"messages":[],"stream":true})",
          ""};
}

http::HttpRequest ResumeRequest() {
  return {"GET",
          "/v1/requests/m1~1~r.1?offset=0",
          {{"banyanlane-organisation", "org"}},
          "",
          ""};
}

/// Entry with one agent that is up.
struct StoppingEntry {
  StoppingEntry() {
    this->Publish(1, kMaxDeadline);
    this->service.OnLinkUp(this->agent, this->start);
    link::Heartbeat heartbeat;
    heartbeat.endpoint_up = true;
    heartbeat.revision = 1;
    heartbeat.slots = 1;
    this->service.OnMessage(this->agent, heartbeat, this->start);
  }

  void Publish(std::uint64_t revision, kernel::Millis deadline) const {
    const std::string text =
        "[profile:chat]\nclass = chat\nservice = model\ndeadline_ms = " +
        std::to_string(deadline.count()) + "\n";
    this->store->Offer({revision, kernel::Digest(text), text}, "platform",
                       this->start);
  }

  kernel::TimePoint start = kernel::Clock::now();
  std::shared_ptr<config::ConfigStore> store =
      std::make_shared<config::ConfigStore>(
          std::make_shared<kernel::AuditTrail>());
  std::shared_ptr<AgentLink> agent = std::make_shared<AgentLink>();
  EntryService service{
      AddressSelector("e1", "127.0.0.1:1", 3, kAddressLifetime),
      MakeAffinityRoute(2.0),
      store,
      std::make_shared<NoInstances>(),
      std::make_shared<kernel::Metrics>(),
      start};
};

}  // namespace

// Guards against a stop that ends between a request's acceptance and its count.
Test(stopping_entry, passes_on_nothing_after_its_stop_has_ended) {
  for (const auto& request : {ChatRequest(), ResumeRequest()}) {
    bool was_interrupted = true;
    for (int read = 1; was_interrupted; ++read) {
      StoppingEntry entry;
      entry.service.Drain(entry.start);
      CallerExchange exchange(request);
      was_interrupted = false;
      bool is_over = false;
      exchange.interrupted_read = read;
      exchange.on_read = [&] {
        was_interrupted = true;
        is_over =
            entry.service.Pending(entry.start + kAddressLifetime * 2).empty();
      };
      entry.service.Handle(exchange);
      cr_expect_eq(entry.agent->passed_on, is_over ? 0 : 1,
                   "%s, read %d: over %d, passed on %d", request.target.c_str(),
                   read, is_over, entry.agent->passed_on);
    }
  }
}

// Guards against a stopping entry that resumes responses which its exit cuts.
Test(stopping_entry, refuses_to_resume_a_response_late_in_its_stop) {
  StoppingEntry entry;
  entry.service.Drain(entry.start - kAddressLifetime * 2);
  CallerExchange exchange(ResumeRequest());
  entry.service.Handle(exchange);
  cr_expect_eq(exchange.status, kUnavailable, "%d", exchange.status);
  cr_expect_eq(entry.agent->passed_on, 0);
}

// Guards against a stop that ends at the moment at which its requests do.
Test(stopping_entry, waits_for_the_responses_to_requests_at_their_deadlines) {
  for (const auto& request : {ChatRequest(), ResumeRequest()}) {
    for (const kernel::Millis elapsed :
         {kernel::Millis(0), kAddressLifetime / 2}) {
      StoppingEntry entry;
      entry.service.Drain(entry.start - elapsed);
      CallerExchange exchange(request);
      bool is_over = false;
      exchange.on_wait = [&] {
        is_over = entry.service.Pending(exchange.waited_until + kResponseTime)
                      .empty();
      };
      entry.service.Handle(exchange);
      cr_expect_eq(entry.agent->passed_on, 1);
      cr_expect_not(is_over, "%s", request.target.c_str());
    }
  }
}

// Guards against a stop that a configuration with shorter deadlines ends early.
Test(stopping_entry, keeps_the_deadlines_that_requests_were_accepted_with) {
  StoppingEntry entry;
  CallerExchange exchange(ChatRequest());
  bool is_over = false;
  exchange.on_wait = [&] {
    entry.service.Drain(entry.start);
    entry.Publish(2, kMaxDeadline / 10);
    is_over = entry.service.Pending(entry.start + kMaxDeadline / 2).empty();
  };
  entry.service.Handle(exchange);
  cr_expect_eq(entry.agent->passed_on, 1);
  cr_expect_not(is_over);
}

// Guards against a stop that ends while a short response is being written.
Test(stopping_entry, waits_until_refusals_and_addresses_are_written) {
  for (const auto& request :
       {http::HttpRequest{"GET", "/v1/addresses", {}, "", ""},
        http::HttpRequest{"GET", "/v1/keys?profile=none", {}, "", ""},
        ChatRequest()}) {
    StoppingEntry entry;
    const auto elapsed = kAddressLifetime * 2;
    entry.service.Drain(entry.start - elapsed);
    CallerExchange exchange(request);
    bool is_over = true;
    exchange.on_reply = [&] {
      is_over = entry.service.Pending(kernel::Clock::now()).empty();
    };
    entry.service.Handle(exchange);
    cr_expect_not(is_over, "%s", request.target.c_str());
    cr_expect(exchange.closes);
    cr_expect(entry.service.Pending(kernel::Clock::now()).empty());
  }
}

}  // namespace banyanlane::entry
