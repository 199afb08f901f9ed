#include "catalog/internal/contact_exchange.h"

#include <criterion/criterion.h>

#include "config/profile.h"

namespace banyanlane::catalog {
namespace {

using kernel::Millis;
using kernel::TimePoint;

constexpr TimePoint kNow = TimePoint{} + std::chrono::hours(1);
constexpr std::uint64_t kRevision = 10;
constexpr std::uint64_t kListVersion = 160;

class StubConfig : public config::IConfigStore {
 public:
  StubConfig() {
    auto snapshot = std::make_shared<config::ConfigSnapshot>();
    snapshot->revision = kRevision;
    this->current = snapshot;
  }
  config::ConfigPtr Current() const override { return this->current; }
  config::OfferOutcome Offer(const config::ConfigOffer& /*offer*/,
                             std::string_view /*source*/,
                             TimePoint /*now*/) override {
    return config::OfferOutcome::kAdopted;
  }
  void Subscribe(
      std::function<void(const config::ConfigPtr&)> /*observer*/) override {}

 private:
  config::ConfigPtr current;
};

class StubMembership : public membership::IMembership {
 public:
  membership::InstanceListPtr Current() const override {
    auto list = std::make_shared<membership::InstanceList>();
    list->version = kListVersion;
    return list;
  }
  bool Offer(std::string_view /*text*/, std::string_view /*source*/,
             TimePoint /*now*/) override {
    return false;
  }
  void Subscribe(
      std::function<void(const membership::InstanceListPtr&)> /*observer*/)
      override {}
};

class FakeLink : public link::ILink {
 public:
  FakeLink(std::uint64_t number, const std::string& role,
           const std::string& node)
      : number(number) {
    this->hello.role = role;
    this->hello.node = node;
  }
  std::uint64_t id() const override { return this->number; }
  const link::Hello& peer() const override { return this->hello; }
  bool Send(const link::Message& /*message*/) override { return true; }
  void Close(std::string_view /*reason*/) override {}

 private:
  std::uint64_t number;
  link::Hello hello;
};

std::unique_ptr<ContactExchange> MakeExchange() {
  auto exchange = std::make_unique<ContactExchange>("g0", ContactLimits{});
  exchange->SetStores(std::make_shared<StubConfig>(),
                      std::make_shared<StubMembership>());
  return exchange;
}

link::LinkPtr GatewayLink(std::uint64_t number, const std::string& node) {
  return std::make_shared<FakeLink>(number, "gateway", node);
}

/// Returns the heartbeat of a peer to which the store has responded recently.
link::Heartbeat HeartbeatOf(std::uint64_t revision,
                            std::uint64_t list_version) {
  link::Heartbeat heartbeat;
  heartbeat.revision = revision;
  heartbeat.list_version = list_version;
  heartbeat.config_contact_ms = 200;
  heartbeat.list_contact_ms = 300;
  return heartbeat;
}

}  // namespace

Test(contact_exchange, counts_responses_to_peers_that_know_no_more) {
  const auto exchange = MakeExchange();
  const auto link = GatewayLink(1, "g1");
  cr_assert_not(exchange->ConfigAge(kNow).has_value());
  exchange->OnMessage(link, HeartbeatOf(kRevision, kListVersion), kNow);
  cr_assert_eq(exchange->ConfigAge(kNow)->count(), 200);
  cr_assert_eq(exchange->EndpointsAge(kNow)->count(), 300);
}

Test(contact_exchange, does_not_count_responses_whose_changes_are_missing) {
  const auto exchange = MakeExchange();
  const auto link = GatewayLink(1, "g1");
  exchange->OnMessage(link, HeartbeatOf(kRevision + 1, kListVersion), kNow);
  cr_assert_not(exchange->ConfigAge(kNow).has_value());
  cr_assert(exchange->EndpointsAge(kNow).has_value());
  const auto other = MakeExchange();
  other->OnMessage(link, HeartbeatOf(kRevision, kListVersion + 1), kNow);
  cr_assert(other->ConfigAge(kNow).has_value());
  cr_assert_not(other->EndpointsAge(kNow).has_value());
}

Test(contact_exchange, ignores_heartbeats_without_a_response) {
  const auto exchange = MakeExchange();
  link::Heartbeat heartbeat;
  heartbeat.revision = kRevision;
  exchange->OnMessage(GatewayLink(1, "g1"), heartbeat, kNow);
  cr_assert_not(exchange->ConfigAge(kNow).has_value());
  cr_assert_not(exchange->EndpointsAge(kNow).has_value());
}

Test(contact_exchange, ranks_linked_gateways_only) {
  const auto exchange = MakeExchange();
  std::vector<link::LinkPtr> links;
  for (int i = 1; i <= 20; ++i) {
    links.push_back(GatewayLink(i, "g" + std::to_string(i)));
    exchange->OnLinkUp(links.back(), kNow);
  }
  const std::size_t rank = exchange->Rank("a/");
  cr_assert_leq(rank, links.size());
  exchange->OnLinkUp(GatewayLink(99, "g1"), kNow);
  exchange->OnLinkUp(std::make_shared<FakeLink>(100, "rank", "r1"), kNow);
  cr_assert_eq(exchange->Rank("a/"), rank,
               "a second link to a gateway, and a rank agent");
  for (const link::LinkPtr& link : links) exchange->OnLinkDown(link, kNow);
  cr_assert_leq(exchange->Rank("a/"), 1, "only the second link is left");
}

}  // namespace banyanlane::catalog
