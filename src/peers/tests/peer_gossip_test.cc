#include "peers/internal/peer_gossip.h"

#include <criterion/criterion.h>

namespace banyanlane::peers {
namespace {

class FakeLink : public link::ILink {
 public:
  FakeLink(const std::string& role, const std::string& node) {
    this->hello.role = role;
    this->hello.node = node;
  }
  std::uint64_t id() const override {
    return std::hash<std::string>{}(this->hello.node);
  }
  const link::Hello& peer() const override { return this->hello; }
  bool Send(const link::Message& message) override {
    const auto* states = std::get_if<link::PeerStates>(&message);
    if (states != nullptr) this->sent_states += states->states.size();
    return true;
  }
  void Close(std::string_view /*reason*/) override {}

  link::Hello hello;
  std::size_t sent_states = 0;
};

class FakeHub : public link::ILinkHub {
 public:
  void SetStateProviders(std::function<link::Hello()> /*hello*/,
                         std::function<link::Heartbeat()> /*beat*/) override {}
  void Subscribe(std::shared_ptr<link::ILinkObserver> /*observer*/) override {}
  kernel::Result<std::uint16_t> Listen(
      const std::string& /*address*/) override {
    return std::uint16_t{0};
  }
  void SetTargets(const std::vector<std::string>& /*addresses*/) override {}
  std::vector<link::LinkPtr> Links() const override { return {}; }
  std::size_t QueuedBytes() const override { return 0; }
  void Start() override {}
  void Stop() override {}
};

link::PeerState StateOf(const char* role, const std::string& node) {
  link::PeerState state;
  state.role = role;
  state.node = node;
  state.incarnation = 1;
  state.sequence = 1;
  return state;
}

constexpr kernel::TimePoint kNow = kernel::TimePoint{} + std::chrono::hours(1);

/// Returns the table of a rank agent that knows 20 others.
PeerTable RankAgentTable() {
  PeerTable table(StateOf(kRankRole, "r0"), PeerLimits{});
  for (int i = 1; i <= 20; ++i)
    table.Merge(StateOf(kRankRole, "r" + std::to_string(i)), false, kNow);
  return table;
}

}  // namespace

Test(peer_gossip, rank_agents_send_each_other_only_their_own_state) {
  const auto gateway = std::make_shared<FakeLink>(kGatewayRole, "g");
  const auto rank = std::make_shared<FakeLink>(kRankRole, "r1");
  PeerGossip gossip(RankAgentTable(), {}, std::make_shared<FakeHub>());
  gossip.OnLinkUp(gateway, kNow);
  gossip.OnLinkUp(rank, kNow);
  cr_expect_eq(gateway->sent_states, 21);
  cr_expect_eq(rank->sent_states, 1);
  link::PeerStates news;
  news.states.push_back(StateOf(kRankRole, "r99"));
  const auto other = std::make_shared<FakeLink>(kGatewayRole, "g2");
  gossip.OnLinkUp(other, kNow);
  gossip.OnMessage(other, news, kNow);
  cr_expect_eq(gateway->sent_states, 22);
  cr_expect_eq(rank->sent_states, 1);
}

}  // namespace banyanlane::peers
