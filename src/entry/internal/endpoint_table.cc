#include "entry/internal/endpoint_table.h"

#include <fmt/format.h>

#include <algorithm>

#include "kernel/hash.h"

namespace banyanlane::entry {

void EndpointTable::OnLinkUp(std::uint64_t link, const link::Hello& hello,
                             kernel::TimePoint now) {
  Row row;
  row.link = link;
  row.hello = hello;
  row.leaving = hello.leaving;
  row.clock_ms = hello.clock_ms;
  row.clock_received_at = now;
  row.revision = hello.revision;
  this->rows.Set(hello.node, std::move(row));
}

void EndpointTable::OnLinkDown(std::uint64_t link, const std::string& node) {
  this->rows.EraseKeyIf(node,
                        [link](const Row& row) { return row.link == link; });
}

void EndpointTable::OnHeartbeat(std::uint64_t link, const std::string& node,
                                const link::Heartbeat& heartbeat,
                                kernel::TimePoint now) {
  if (!this->rows.Find(node)) return;
  this->rows.With(node, [&](Row& row) {
    if (row.link != link) return;
    row.leaving = row.leaving || heartbeat.leaving;
    row.endpoint_up = heartbeat.endpoint_up;
    row.revision = heartbeat.revision;
    row.reported_load =
        static_cast<std::int64_t>(heartbeat.running + heartbeat.queued);
    row.load_since_report = 0;
    row.slots = static_cast<std::int64_t>(heartbeat.slots);
    row.clock_ms = heartbeat.clock_ms;
    row.clock_received_at = now;
  });
}

void EndpointTable::OnRevision(const std::string& node,
                               std::uint64_t revision) {
  if (!this->rows.Find(node)) return;
  this->rows.With(node, [revision](Row& row) { row.revision = revision; });
}

void EndpointTable::OnLeavingNodes(const std::set<std::string>& nodes) {
  for (const Row& row : this->rows.Values()) {
    this->rows.With(row.hello.node, [&nodes](Row& current) {
      current.listed_leaving = nodes.count(current.hello.node) > 0;
    });
  }
}

EndpointView EndpointTable::MakeView(const Row& row, kernel::TimePoint now) {
  EndpointView view;
  view.link = row.link;
  view.node = row.hello.node;
  view.incarnation = row.hello.incarnation;
  view.failure_domain = row.hello.failure_domain;
  view.service = row.hello.service;
  const auto elapsed = std::max<std::int64_t>(
      0, kernel::MillisBetween(row.clock_received_at, now));
  view.clock_ms = row.clock_ms + static_cast<std::uint64_t>(elapsed);
  view.load =
      std::max<std::int64_t>(0, row.reported_load + row.load_since_report);
  view.slots = row.slots;
  return view;
}

std::optional<EndpointView> EndpointTable::Choose(const RouteRequest& request,
                                                  kernel::TimePoint now) {
  std::vector<EndpointView> candidates;
  for (const Row& row : this->rows.Values()) {
    const bool same_service = row.hello.service == request.service;
    const bool usable = row.endpoint_up && row.revision > 0 && !row.leaving &&
                        !row.listed_leaving;
    const bool excluded = request.excluded_nodes.count(row.hello.node) > 0;
    if (same_service && usable && !excluded)
      candidates.push_back(MakeView(row, now));
  }
  if (candidates.empty()) return std::nullopt;
  if (request.suspect) {
    return *std::max_element(
        candidates.begin(), candidates.end(),
        [&request](const EndpointView& left, const EndpointView& right) {
          return kernel::RendezvousWeight(request.fingerprint, left.node) <
                 kernel::RendezvousWeight(request.fingerprint, right.node);
        });
  }
  std::sort(candidates.begin(), candidates.end(),
            [](const EndpointView& left, const EndpointView& right) {
              return left.node < right.node;
            });
  return candidates[this->policy->Choose(candidates, request)];
}

std::optional<EndpointView> EndpointTable::FindNode(const std::string& node,
                                                    kernel::TimePoint now) {
  const auto row = this->rows.Find(node);
  if (!row) return std::nullopt;
  return MakeView(*row, now);
}

void EndpointTable::OnAssigned(const std::string& node) {
  if (!this->rows.Find(node)) return;
  this->rows.With(node, [](Row& row) { ++row.load_since_report; });
}

void EndpointTable::OnReleased(const std::string& node) {
  if (!this->rows.Find(node)) return;
  this->rows.With(node, [](Row& row) { --row.load_since_report; });
}

std::vector<std::string> EndpointTable::Describe(kernel::TimePoint now) {
  std::vector<std::string> lines;
  for (const Row& row : this->rows.Values()) {
    const EndpointView view = MakeView(row, now);
    lines.push_back(
        fmt::format("{} service={} failure_domain={} revision={} up={} "
                    "leaving={} load={} slots={}",
                    view.node, view.service, view.failure_domain, row.revision,
                    row.endpoint_up, row.leaving || row.listed_leaving,
                    view.load, view.slots));
  }
  std::sort(lines.begin(), lines.end());
  return lines;
}

}  // namespace banyanlane::entry
