#include "entry/internal/route_policy.h"

#include <criterion/criterion.h>

namespace banyanlane::entry {
namespace {

std::vector<EndpointView> Endpoints(const std::vector<std::int64_t>& loads,
                                    std::int64_t slots) {
  std::vector<EndpointView> views;
  for (const std::int64_t load : loads) {
    EndpointView view;
    view.node = "n" + std::to_string(views.size());
    view.load = load;
    view.slots = slots;
    views.push_back(view);
  }
  return views;
}

RouteRequest WithPrefix(const std::string& prefix) {
  RouteRequest request;
  request.affinity = prefix;
  return request;
}

}  // namespace

Test(route_policy,
     selects_the_same_endpoint_for_a_prefix_up_to_the_load_bound) {
  const auto policy = MakeAffinityRoute(1.5);
  const std::size_t chosen =
      policy->Choose(Endpoints({3, 3, 3, 3}, 10), WithPrefix("p"));
  std::vector<std::int64_t> loads = {3, 3, 3, 3};
  loads[chosen] = 5;
  cr_assert_eq(policy->Choose(Endpoints(loads, 10), WithPrefix("p")), chosen);
  loads[chosen] = 9;
  cr_assert_neq(policy->Choose(Endpoints(loads, 10), WithPrefix("p")), chosen);
}

Test(route_policy, passes_over_endpoints_without_a_free_slot) {
  const auto policy = MakeAffinityRoute(4.0);
  for (int i = 0; i < 20; ++i) {
    const auto prefix = WithPrefix("p" + std::to_string(i));
    cr_assert_eq(policy->Choose(Endpoints({8, 8, 7, 8}, 8), prefix), 2);
    cr_assert_eq(policy->Choose(Endpoints({9, 8, 9, 10}, 8), prefix), 1);
  }
}

}  // namespace banyanlane::entry
