#include "direct/internal/event_splitter.h"

#include <criterion/criterion.h>

#include "direct/internal/route_table.h"

namespace banyanlane::direct {
namespace {

constexpr char kStream[] = "id: 7\ndata: a\n\n: note\r\n\r\nid:8\ndata: b\n\n";

config::ConfigPtr RoutesOf(
    const std::vector<std::pair<std::string, std::string>>& routes) {
  auto snapshot = std::make_shared<config::ConfigSnapshot>();
  for (const auto& [host, prefix] : routes) {
    config::Profile profile;
    profile.name = host + prefix;
    profile.host = host;
    profile.path_prefix = prefix;
    snapshot->profiles[profile.name] = profile;
  }
  return snapshot;
}

}  // namespace

Test(event_splitter, finds_the_same_events_for_any_chunk_size) {
  for (std::size_t size = 1; size < sizeof(kStream); ++size) {
    EventSplitter splitter;
    std::vector<StreamEvent> events;
    std::string_view left(kStream);
    while (!left.empty()) {
      const auto part = left.substr(0, size);
      for (StreamEvent& event : splitter.Feed(part))
        events.push_back(std::move(event));
      left.remove_prefix(part.size());
    }
    cr_assert_eq(events.size(), 3);
    cr_assert_eq(*events[0].id, 7);
    cr_assert_not(events[1].id.has_value());
    cr_assert_eq(*events[2].id, 8);
    cr_assert_eq(events[0].text + events[1].text + events[2].text, kStream);
    cr_assert_not(splitter.HasPartialEvent());
  }
}

Test(event_splitter, keeps_an_incomplete_event) {
  EventSplitter splitter;
  cr_assert_eq(splitter.Feed("id: 1\ndata: x\n").size(), 0);
  cr_assert(splitter.HasPartialEvent());
}

Test(route_table, finds_the_longest_prefix_of_the_host) {
  const RouteTable table(
      RoutesOf({{"h", "/a/"}, {"h", "/a/b/"}, {"other", "/"}}));
  cr_assert_eq(table.Find("H:80", "/a/b/c")->path_prefix, "/a/b/");
  cr_assert_eq(table.Find("h", "/a/bc")->path_prefix, "/a/");
  cr_assert_null(table.Find("h", "/b/"));
  cr_assert_null(table.Find("unknown", "/a/"));
  cr_assert_eq(table.Find("other", "/x")->path_prefix, "/");
}

}  // namespace banyanlane::direct
