#include <criterion/criterion.h>

#include "processes/process_helpers.h"

namespace banyanlane::processes {

// Guards against callers who wait for a lost agent until their deadline.
Test(lost_agent, its_streams_are_cut_long_before_their_deadline) {
  Fleet fleet;
  StartSingleEntryFleet(
      fleet, ConfigWith("deadline_ms = 20000", "deadline_ms = 3600000"));
  const auto response =
      fleet.StartRequest("e1", Fleet::ChatRequest("long", 4'000, true));
  cr_assert(Fleet::Await([&] { return response->text().size() > 1'000; }));
  fleet.Kill("m1");
  cr_assert(Fleet::Await([&] { return response->finished(); }));
  cr_expect_not(response->complete());
  cr_expect_neq(response->text().find("link_lost"), std::string::npos);
}

}  // namespace banyanlane::processes
