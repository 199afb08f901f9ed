// The store comes back from a copy that lacks the two latest configurations,
// and the operator writes both again.

#include "harness.h"

namespace review {
namespace {

constexpr int kDeadlineMillis = 2'000;
constexpr double kContactSeconds = 3;
constexpr double kRollbackSlackSeconds = 0.25;

class Operator {
 public:
  Operator(Store& store, Record& record) : store(store), record(record) {}

  /// Version 8 is the first one; version 9 adds a route; version 10 moves the
  /// bookings to another service and withdraws a key.
  void Write(int version) {
    std::vector<Route> routes = {{"r-book", "/book/", "non_idempotent",
                                  version < 10 ? "old-desk" : "new-desk",
                                  kDeadlineMillis, 1, false}};
    if (version >= 9)
      routes.push_back({"r-more", "/more/", "idempotent", "new-desk",
                        kDeadlineMillis, 2, false});
    std::map<std::string, std::string> keys = {{"key-one", "tenant-one"}};
    if (version < 10) keys["key-two"] = "tenant-two";
    this->store.Put("op/config", ConfigText(version, routes, keys));
    this->record.Line("the operator wrote version " + std::to_string(version) +
                      ", acknowledged");
  }

 private:
  Store& store;
  Record& record;
};

int RunCase(const Paths& paths) {
  Record record(paths.record);
  Store store;
  RunLog runs;
  Operator op(store, record);
  Server old_desk("i-old", "old-desk", store, runs);
  Server new_desk("i-new", "new-desk", store, runs);
  op.Write(8);
  Gateway gateway(paths.root, paths.folder, "edge-a-1", store.Address(), {});
  gateway.Start();
  if (!gateway.AwaitReady(20)) {
    record.Line("the gateway did not become ready");
    return kCouldNotRun;
  }
  record.Line("the gateway is ready");

  int number = 0;
  double new_seen_at = -1;
  int regressions = 0;
  int withdrawn_key_runs = 0;
  std::string last_line;
  // Sends two bookings each 200 ms until the given time.
  const auto send_until = [&](double until) {
    while (Seconds() < until) {
      const double sent_at = Seconds();
      const std::string id = "booking-" + std::to_string(++number);
      Fetch(gateway.Frontend(), MakeRequest("POST", "/book/a", id,
                                            kDeadlineMillis, "5", "key-one"));
      const auto ran = runs.Of(id);
      const std::string server = ran.empty() ? "none" : ran.front().server;
      if (server == "i-new" && new_seen_at < 0)
        new_seen_at = ran.front().began_at;
      const bool is_older = server == "i-old" && new_seen_at >= 0 &&
                            sent_at > new_seen_at + kRollbackSlackSeconds;
      if (is_older) ++regressions;
      const std::string second_id = "withdrawn-" + std::to_string(number);
      const Response second = Fetch(
          gateway.Frontend(), MakeRequest("POST", "/book/a", second_id,
                                          kDeadlineMillis, "5", "key-two"));
      const bool second_ran = !runs.Of(second_id).empty();
      if (second_ran && is_older) ++withdrawn_key_runs;
      const std::string line =
          "bookings run at " + server + "; with key-two: status " +
          std::to_string(second.status) + (second_ran ? ", run" : ", not run");
      if (line != last_line) record.Line(id + ": " + line);
      last_line = line;
      SleepUntil(sent_at + 0.2);
    }
  };
  const double start = Seconds();
  send_until(start + 2);
  store.SaveCopy();
  record.Line("the store is copied");
  send_until(start + 3);
  op.Write(9);
  send_until(start + 4);
  op.Write(10);
  send_until(start + 6);
  if (HasTrouble()) {
    store.SetDown(true);
    record.Line("the store is away");
    send_until(start + 6.5);
    store.RestoreCopy();
    store.SetDown(false);
    record.Line("the store is back from the copy, with the next Store-Era");
    send_until(start + 6.5 + kContactSeconds + 1);
    // Until here the core is unstable, and nothing counts.
    const int before = regressions;
    record.Line("regressions so far: " + std::to_string(before));
    regressions = 0;
    withdrawn_key_runs = 0;
    op.Write(9);
    send_until(Seconds() + 2);
    op.Write(10);
  }
  send_until(start + 14);
  record.Line("bookings handled as only an older version allows: " +
              std::to_string(regressions) +
              "; of these moments, runs with the withdrawn key: " +
              std::to_string(withdrawn_key_runs));
  return regressions > 0 ? kBroken : kHeld;
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  std::_Exit(review::RunCase(review::ReadPaths(argc, argv)));
}
