#include "entry/internal/entry_service.h"

#include <criterion/criterion.h>

#include "config/internal/config_store.h"
#include "kernel/hash.h"

namespace banyanlane::entry {
namespace {

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

/// Link to a peer that has a certain revision.
class PeerLink : public link::ILink {
 public:
  explicit PeerLink(std::uint64_t revision) {
    this->hello.role = "agent";
    this->hello.node = "m1";
    this->hello.incarnation = 1;
    this->hello.revision = revision;
  }
  std::uint64_t id() const override { return 1; }
  const link::Hello& peer() const override { return this->hello; }
  bool Send(const link::Message& /*message*/) override { return true; }
  void Close(std::string_view /*reason*/) override {}

 private:
  link::Hello hello;
};

/// Request for a key, and the status of its response.
class KeyExchange : public http::IHttpExchange {
 public:
  KeyExchange() { this->received.target = "/v1/keys?profile=new"; }
  const http::HttpRequest& request() const override { return this->received; }
  http::HttpRequest TakeRequest() override { return this->received; }
  std::shared_ptr<http::INotifier> notifier() override { return nullptr; }
  http::WakeReason Wait(kernel::TimePoint /*until*/) override {
    return http::WakeReason::kTimeout;
  }
  std::shared_ptr<http::IResponseMemory> response_memory() override {
    return nullptr;
  }
  bool HoldMemory(std::uint64_t /*bytes*/) override { return true; }
  void CloseAfterResponse() override {}
  void Reply(const http::HttpResponse& response) override {
    this->status = response.status;
  }
  bool BeginStream(int /*status*/, const http::Headers& /*headers*/) override {
    return false;
  }
  bool WriteChunk(std::string_view /*data*/) override { return false; }
  void EndStream() override {}
  void Abort() override {}

  http::HttpRequest received;
  int status = 0;
};

config::ConfigOffer OfferOf(std::uint64_t revision, const std::string& name) {
  const std::string text =
      "[profile:" + name + "]\nclass = chat\nservice = model\n";
  return {revision, kernel::Digest(text), text};
}

}  // namespace

// A peer reports its revision when the link opens, and sends it a little later.
Test(entry_service, serves_nothing_before_it_has_the_revision_of_its_peers) {
  const auto store = std::make_shared<config::ConfigStore>(
      std::make_shared<kernel::AuditTrail>());
  // The entry has just started, however long this test takes.
  const auto started = kernel::Clock::now() + std::chrono::hours(1);
  EntryService service(
      AddressSelector("e1", "127.0.0.1:1", 3, kernel::Millis(1'000)),
      MakeAffinityRoute(2.0), store, std::make_shared<NoInstances>(),
      std::make_shared<kernel::Metrics>(), started);
  store->Offer(OfferOf(3, "old"), "platform", started);
  service.OnLinkUp(std::make_shared<PeerLink>(5), started);
  KeyExchange early;
  service.Handle(early);
  cr_expect_eq(early.status, 503, "%d", early.status);
  store->Offer(OfferOf(5, "old"), "m1", started);
  KeyExchange late;
  service.Handle(late);
  cr_expect_eq(late.status, 404, "%d", late.status);
}

}  // namespace banyanlane::entry
