#include "peers/internal/peer_table.h"

#include <criterion/criterion.h>

namespace banyanlane::peers {
namespace {

link::PeerState StateOf(const std::string& node, std::uint64_t sequence,
                        std::uint64_t incarnation = 1) {
  link::PeerState state;
  state.role = kGatewayRole;
  state.node = node;
  state.incarnation = incarnation;
  state.sequence = sequence;
  state.link_address = node + ":1";
  state.caller_address = node + ":2";
  state.ready = true;
  return state;
}

constexpr kernel::Millis kLongPause{60'000};

}  // namespace

Test(peer_table, forgets_a_silent_gateway_but_not_a_rank_agent) {
  PeerTable table(StateOf("self", 1), PeerLimits{});
  const kernel::TimePoint start{};
  table.Merge(StateOf("g", 1), true, start);
  link::PeerState rank = StateOf("r", 1);
  rank.role = kRankRole;
  table.Merge(rank, false, start);
  table.Expire(start + kLongPause);
  cr_assert(table.OfRole(kGatewayRole).empty());
  cr_assert_eq(table.OfRole(kRankRole).size(), 1);
}

Test(peer_table, lists_only_gateways_heard_of_lately) {
  PeerTable table(StateOf("self", 1), PeerLimits{});
  const kernel::TimePoint start{};
  cr_assert(table.Merge(StateOf("g", 1), true, start));
  cr_assert_not(table.Merge(StateOf("g", 2), true, start));
  const auto silence = PeerLimits{}.silence;
  cr_assert_eq(table.Live(start + silence).size(), 1);
  cr_assert(table.Live(start + silence + kernel::Millis{1}).empty());
}

Test(peer_table, keeps_to_a_life_that_is_heard_of_until_its_node_says_more) {
  PeerTable table(StateOf("self", 1), PeerLimits{});
  const kernel::TimePoint start{};
  table.Merge(StateOf("g", 5, 2), true, start);
  cr_assert_not(table.Merge(StateOf("g", 900, 1), false, start),
                "an earlier life, passed on late");
  cr_assert(table.Merge(StateOf("g", 1, 3), true, start));
  link::PeerState leaving = StateOf("g", 2, 3);
  leaving.leaving = true;
  cr_assert(table.Merge(leaving, false, start));
  cr_assert(table.Live(start).front().leaving);
  cr_assert_not(table.Merge(StateOf("g", 1, 3), false, start), "older");
}

Test(peer_table, adds_up_what_live_peers_have_in_flight) {
  PeerTable table(StateOf("self", 1), PeerLimits{});
  const kernel::TimePoint start{};
  link::PeerState state = StateOf("a", 1);
  state.in_flight = {"e1=3", "e2=1", "bad", "e3=x"};
  table.Merge(state, true, start);
  state.node = "b";
  table.Merge(state, true, start);
  cr_assert_eq(table.InFlightElsewhere("e1"), 6);
  cr_assert_eq(table.InFlightElsewhere("e3"), 0);
  table.Expire(start + kLongPause);
  cr_assert_eq(table.InFlightElsewhere("e1"), 0);
}

Test(peer_table, dials_one_side_of_each_pair_and_all_seeds) {
  PeerTable table(StateOf("m", 1), PeerLimits{});
  table.Merge(StateOf("a", 1), true, {});
  table.Merge(StateOf("z", 1), true, {});
  const auto targets = table.Targets({"a:1", "m:1"}, {"w:1"});
  cr_assert(targets == std::vector<std::string>({"a:1", "w:1", "z:1"}));
}

}  // namespace banyanlane::peers
