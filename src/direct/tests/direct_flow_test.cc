#include <criterion/criterion.h>

#include <deque>
#include <map>
#include <memory>
#include <random>

#include "direct/tests/flow_harness.h"

namespace banyanlane::direct {
namespace {

using http::SendState;
using kernel::Millis;
using kernel::TimePoint;

}  // namespace

Test(direct_flow, forwards_a_complete_response) {
  FlowHarness harness(false, false);
  harness.Apply(harness.flow->Start(kStart));
  const auto* call = harness.Last<CallEndpoint>();
  cr_assert_not_null(call);
  cr_assert_eq(call->parameters.deadline_ms, 8'000);
  harness.Apply(harness.flow->OnHead(1, HeadOf(200), kStart));
  harness.Apply(harness.flow->OnData(1, "bo", kStart));
  harness.Apply(harness.flow->OnData(1, "dy", kStart));
  cr_assert_null(harness.Last<SendResponse>());
  harness.Apply(harness.flow->OnEnd(1, kStart));
  cr_assert_eq(harness.Last<SendResponse>()->response.body, "body");
  cr_assert(harness.flow->IsDone());
}

Test(direct_flow, reports_not_run_only_when_nothing_ran) {
  FlowHarness lost(false, false);
  lost.Apply(lost.flow->Start(kStart));
  lost.Apply(lost.flow->OnFailed(1, SendState::kMaybeSent, kStart));
  cr_assert_eq(lost.Last<SendRefusal>()->status, 502);
  cr_assert_lt(lost.Last<SendRefusal>()->retry_after_ms, 0);

  FlowHarness refused(false, false, 1);
  refused.Apply(refused.flow->Start(kStart));
  ResponseHead full = HeadOf(503);
  full.not_run = true;
  refused.Apply(refused.flow->OnHead(1, full, kStart));
  cr_assert_eq(refused.Last<SendRefusal>()->status, 503);
  cr_assert_geq(refused.Last<SendRefusal>()->retry_after_ms, 0);

  FlowHarness claimed(false, false);
  claimed.Apply(claimed.flow->Start(kStart));
  claimed.Apply(claimed.flow->OnHead(1, HeadOf(503), kStart));
  claimed.Apply(claimed.flow->OnEnd(1, kStart));
  cr_assert_eq(claimed.Last<SendRefusal>()->status, 502,
               "a 503 without proof may have run");

  FlowHarness late(false, false);
  late.Apply(late.flow->Start(kStart));
  late.Apply(late.flow->OnTimer(kStart + Millis(8'000)));
  cr_assert_eq(late.Last<SendRefusal>()->status, 504);
}

Test(direct_flow, never_retries_a_request_that_is_not_repeatable) {
  FlowHarness harness(false, false);
  harness.Apply(harness.flow->Start(kStart));
  harness.Apply(harness.flow->OnTimer(kStart + Millis(4'000)));
  harness.Apply(harness.flow->OnHead(1, HeadOf(200), kStart));
  harness.Apply(harness.flow->OnData(1, "half", kStart));
  harness.Apply(harness.flow->OnFailed(1, SendState::kMaybeSent, kStart));
  cr_assert_eq(harness.Count<CallEndpoint>(), 1);
  cr_assert_eq(harness.Last<SendRefusal>()->status, 502);
}

Test(direct_flow, tries_another_endpoint_after_a_failed_connection) {
  FlowHarness harness(false, false);
  harness.Apply(harness.flow->Start(kStart));
  const std::string first = harness.Last<CallEndpoint>()->endpoint.id;
  harness.Apply(harness.flow->OnFailed(1, SendState::kNotSent, kStart));
  cr_assert_eq(harness.Count<CallEndpoint>(), 2);
  cr_assert_neq(harness.Last<CallEndpoint>()->endpoint.id, first);
}

Test(direct_flow, resumes_elsewhere_after_the_last_complete_event) {
  FlowHarness harness(true, true);
  harness.Apply(harness.flow->Start(kStart));
  harness.Apply(harness.flow->OnHead(1, HeadOf(200), kStart));
  harness.Apply(harness.flow->OnData(1, "id: 1\ndata: a\n\nid: 2\nda", kStart));
  harness.Apply(harness.flow->OnFailed(1, SendState::kMaybeSent, kStart));
  cr_assert_eq(*harness.Last<CallEndpoint>()->parameters.last_event_id, 1);
  harness.Apply(harness.flow->OnHead(2, HeadOf(200), kStart));
  harness.Apply(
      harness.flow->OnData(2, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", kStart));
  harness.Apply(harness.flow->OnEnd(2, kStart));
  cr_assert_eq(harness.SentText(), "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
  cr_assert_eq(harness.Count<SendStreamHead>(), 1);
  cr_assert_eq(harness.Count<SendStreamEnd>(), 1);
}

Test(direct_flow, aborts_a_stream_with_a_gap_or_a_truncated_end) {
  FlowHarness gap(true, false);
  gap.Apply(gap.flow->Start(kStart));
  gap.Apply(gap.flow->OnHead(1, HeadOf(200), kStart));
  gap.Apply(gap.flow->OnData(1, "id: 1\n\nid: 3\n\n", kStart));
  cr_assert_eq(gap.SentText(), "id: 1\n\n");
  cr_assert_eq(gap.Count<AbortResponse>(), 1);

  FlowHarness truncated(true, false);
  truncated.Apply(truncated.flow->Start(kStart));
  truncated.Apply(truncated.flow->OnHead(1, HeadOf(200), kStart));
  truncated.Apply(truncated.flow->OnData(1, "id: 1\n\nid: 2", kStart));
  truncated.Apply(truncated.flow->OnEnd(1, kStart));
  cr_assert_eq(truncated.Count<AbortResponse>(), 1);
  cr_assert_eq(truncated.Count<SendStreamEnd>(), 0);
}

// Guards against a refusal that follows a part of a stream, which violates the
// protocol. It occurred when no other endpoint had capacity for the stream.
Test(direct_flow, aborts_a_stream_that_finds_no_capacity_elsewhere) {
  FlowHarness harness(true, true, 2);
  harness.Apply(harness.flow->Start(kStart));
  harness.Apply(harness.flow->OnHead(1, HeadOf(200), kStart));
  harness.Apply(harness.flow->OnData(1, "id: 1\n\n", kStart));
  harness.FillAllEndpoints();
  harness.Apply(harness.flow->OnFailed(1, SendState::kMaybeSent, kStart));
  harness.Apply(harness.flow->OnTimer(kStart + Millis(8'000)));
  cr_assert_eq(harness.Count<AbortResponse>(), 1);
  cr_assert_eq(harness.Count<SendRefusal>(), 0);
  cr_assert(harness.flow->IsDone());
}

// Ranks of one group wait for one another. Leaving a silent rank for another
// one makes the group process the prompt again and gains nothing.
Test(direct_flow, leaves_a_silent_endpoint_only_while_others_respond) {
  FlowHarness harness(true, true);
  harness.Apply(harness.flow->Start(kStart));
  const auto silent = kStart + DirectLimits{}.stream_stall_timeout;
  harness.Apply(harness.flow->OnTimer(silent));
  cr_assert_eq(harness.Count<CallEndpoint>(), 1);
  cr_assert_gt(harness.flow->NextTimer().time_since_epoch().count(),
               silent.time_since_epoch().count());
  const auto& here = harness.Last<CallEndpoint>()->endpoint;
  EndpointChoice other = here;
  other.id = here.id == "e0" ? "e1" : "e0";
  harness.pool.OnProgress(other, silent);
  harness.Apply(harness.flow->OnTimer(harness.flow->NextTimer()));
  cr_assert_eq(harness.Count<CallEndpoint>(), 2);
}

// When all endpoints are busy, retries would add to their work, and their
// callers would leave before they begin.
Test(direct_flow, does_not_retry_a_stream_that_waits_for_busy_endpoints) {
  const TimePoint stalled = kStart + DirectLimits{}.stream_stall_timeout;
  for (const int first_event_ms : {200, 900}) {
    FlowHarness harness(true, true);
    harness.Apply(harness.flow->Start(kStart));
    const auto other = harness.pool.Choose(
        "model", {harness.Last<CallEndpoint>()->endpoint.id}, kStart);
    harness.pool.OnFirstEvent(*other, Millis(first_event_ms), kStart);
    harness.pool.OnProgress(*other, stalled);
    harness.Apply(harness.flow->OnTimer(stalled));
    cr_expect_eq(harness.Count<CallEndpoint>(), first_event_ms < 400 ? 2 : 1,
                 "%d ms", first_event_ms);
  }
}

Test(direct_flow, ignores_data_of_a_cancelled_attempt) {
  FlowHarness harness(true, true);
  harness.Apply(harness.flow->Start(kStart));
  ResponseHead foreign = HeadOf(200);
  foreign.request_id = "another";
  harness.Apply(harness.flow->OnHead(1, foreign, kStart));
  cr_assert_eq(harness.Count<CancelCall>(), 1);
  harness.Apply(harness.flow->OnData(1, "id: 1\ndata: foreign\n\n", kStart));
  cr_assert_eq(harness.SentText(), "");
  cr_assert_eq(harness.Count<CallEndpoint>(), 2);
}

Test(direct_flow, waits_for_capacity_and_is_refused_in_time) {
  FlowHarness harness(true, true);
  harness.FillAllEndpoints();
  harness.Apply(harness.flow->Start(kStart));
  cr_assert_eq(harness.Count<CallEndpoint>(), 0);
  cr_assert_eq(harness.queue.Length("model"), 1);
  harness.Apply(harness.flow->OnTimer(kStart + DirectLimits{}.max_stream_wait));
  cr_assert_eq(harness.Last<SendRefusal>()->status, 503);
  cr_assert_eq(harness.queue.Length("model"), 0);
}

// Otherwise the retry blocks the requests behind it until it is refused.
Test(direct_flow, a_queued_retry_is_sent_when_there_is_capacity) {
  FlowHarness harness(true, true);
  harness.Apply(harness.flow->Start(kStart));
  harness.FillAllEndpoints();
  ResponseHead refusal = HeadOf(503);
  refusal.not_run = true;
  harness.Apply(harness.flow->OnHead(1, refusal, kStart));
  cr_assert_eq(harness.Count<CallEndpoint>(), 1);
  cr_assert(harness.IsNextInQueue());
  harness.FreeOneSlotElsewhere();
  harness.Apply(harness.flow->OnCapacity(kStart));
  cr_assert_eq(harness.Count<CallEndpoint>(), 2);
  cr_assert_eq(harness.queue.Length("model"), 0);
}

// Guards against refusing all callers that retry while a group forms again.
Test(direct_flow, waits_for_a_service_that_refuses_everything) {
  FlowHarness harness(true, true, 16);
  for (int i = 0; i < 40; ++i) {
    const auto ticket = harness.queue.Enqueue("model", 0, 100, kStart);
    if (i % 2 == 0) harness.queue.Remove("model", 0, ticket);
    harness.queue.OnDispatched("model", kStart + Millis(i * 200));
  }
  for (int i = 0; i < 3; ++i) {
    const auto choice = harness.pool.Choose("model", {}, kStart);
    harness.pool.Release(*choice, AttemptResult::kFull, kStart);
  }
  harness.Apply(harness.flow->Start(kStart + Millis(8'000)));
  cr_assert_null(harness.Last<SendRefusal>());
  cr_assert(harness.IsNextInQueue());
  harness.Apply(harness.flow->OnTimer(kStart + Millis(9'500)));
  cr_assert_geq(harness.Last<SendRefusal>()->retry_after_ms, 750);
}

Test(direct_flow, cancels_the_attempt_of_a_disconnected_caller) {
  FlowHarness harness(true, true);
  harness.Apply(harness.flow->Start(kStart));
  harness.Apply(harness.flow->OnCallerDisconnected(kStart));
  cr_assert_eq(harness.Count<CancelCall>(), 1);
  cr_assert(harness.flow->IsDone());
}

// Guards against sending late requests first when there are more requests than
// capacity, so that others become late as well.
Test(request_queue, prefers_requests_that_can_be_on_time) {
  RequestQueue queue;
  const auto early = kStart + Millis(100);
  const auto late = kStart + Millis(300);
  queue.Enqueue("s", 1, 11, early);
  const auto second = queue.Enqueue("s", 1, 12, late);
  const auto urgent = queue.Enqueue("s", 0, 13, early);
  cr_assert_eq(*queue.NextRequest("s", {}, kStart), 13);
  cr_assert_eq(*queue.NextRequest("s", {13}, kStart), 11);
  queue.Remove("s", 0, urgent);
  cr_assert_eq(*queue.NextRequest("s", {}, kStart), 11);
  cr_assert_eq(*queue.NextRequest("s", {}, early), 12);
  cr_assert_eq(*queue.NextRequest("s", {12}, early), 11);
  queue.Remove("s", 1, second);
  cr_assert_eq(*queue.NextRequest("s", {}, early), 11,
               "late, but still queued");
}

// A process that has just started does not know how many retries it used before
// the restart, nor those of peers that it has not linked to yet.
Test(retry_allowance, restores_the_slack_over_one_window) {
  const RetryLimits limits{0.2, Millis(10'000), 90, 0.75};
  RetryAllowance fresh(limits, kStart);
  cr_assert_not(fresh.TryAcquire("s", 1, kStart));
  int taken = 0;
  const auto later = kStart + Millis(10'000);
  while (fresh.TryAcquire("s", 7, later)) ++taken;
  cr_assert_eq(taken, 9, "%d", taken);
}

// If all gateways send to the least loaded endpoints that they know of, these
// receive more requests than they have capacity for.
Test(endpoint_pool,
     gateways_with_old_counts_do_not_send_to_the_same_endpoints) {
  constexpr int kGateways = 38;
  constexpr int kEndpoints = 72;
  constexpr std::int64_t kSlots = 10;
  /// The slots and PoolLimits::queue_fraction of them.
  constexpr std::int64_t kLimit = 12;
  constexpr Millis kArrivalPeriod{3};
  constexpr Millis kUpdatePeriod{500};
  constexpr Millis kServiceTime{1'500};
  constexpr Millis kLength{20'000};
  using Counts = std::map<std::string, std::int64_t>;
  Counts in_flight;
  std::vector<Counts> own(kGateways);
  Counts reported;
  std::vector<Counts> reported_own(kGateways);
  membership::InstanceList list = ListOf(kEndpoints);
  for (membership::Instance& instance : list.instances) instance.slots = kSlots;
  std::vector<std::unique_ptr<EndpointPool>> gateways;
  for (int i = 0; i < kGateways; ++i) {
    gateways.push_back(std::make_unique<EndpointPool>(
        "a", PoolLimits{}, i,
        [&reported, &reported_own, i](const std::string& id) {
          return reported[id] - reported_own[static_cast<std::size_t>(i)][id];
        },
        [](const std::string&) { return 1.0; }));
    gateways.back()->OnInstances(list);
  }
  struct Ending {
    TimePoint at;
    std::size_t gateway;
    EndpointChoice choice;
  };
  std::deque<Ending> endings;
  std::minstd_rand random(5);
  int requests = 0;
  int over_capacity = 0;
  TimePoint next_update = kStart;
  for (TimePoint now = kStart; now < kStart + kLength; now += kArrivalPeriod) {
    while (!endings.empty() && endings.front().at <= now) {
      const Ending ending = endings.front();
      endings.pop_front();
      --in_flight[ending.choice.id];
      --own[ending.gateway][ending.choice.id];
      gateways[ending.gateway]->Release(ending.choice,
                                        AttemptResult::kCompleted, now);
    }
    if (now >= next_update) {
      next_update = now + kUpdatePeriod;
      reported = in_flight;
      reported_own = own;
    }
    const std::size_t gateway = random() % kGateways;
    const auto choice = gateways[gateway]->Choose("model", {}, now);
    ++requests;
    if (!choice) continue;
    ++own[gateway][choice->id];
    over_capacity += ++in_flight[choice->id] > kLimit ? 1 : 0;
    endings.push_back({now + kServiceTime, gateway, *choice});
  }
  cr_expect_leq(over_capacity, requests / 100, "%d of %d", over_capacity,
                requests);
}

Test(endpoint_pool, skips_a_replaced_endpoint_until_listed_anew) {
  EndpointPool pool(
      "a", PoolLimits{}, 1, [](const std::string&) { return 0; },
      [](const std::string&) { return 1.0; });
  pool.OnInstances(ListOf(1));
  const auto choice = pool.Choose("model", {}, kStart);
  pool.Release(*choice, AttemptResult::kReplaced, kStart);
  cr_assert_not(pool.HasEndpoints("model", {}, kStart + Millis(5'000)));
  auto moved = ListOf(1);
  moved.instances[0].address = "10.0.0.9:9";
  pool.OnInstances(moved);
  cr_assert(pool.HasEndpoints("model", {}, kStart));
}

// Guards against sending all requests while a group that has lost a rank forms
// again. Each of them would be refused, and callers retry only once.
Test(endpoint_pool, sends_one_at_a_time_while_a_service_refuses_all) {
  EndpointPool pool(
      "a", PoolLimits{}, 1, [](const std::string&) { return 0; },
      [](const std::string&) { return 1.0; });
  pool.OnInstances(ListOf(16));
  TimePoint now = kStart;
  int sent = 0;
  for (int tick = 0; tick < 200; ++tick) {
    now += Millis(10);
    const auto choice = pool.Choose("model", {}, now);
    if (!choice) continue;
    ++sent;
    pool.Release(*choice, AttemptResult::kFull, now);
  }
  cr_assert(pool.IsUnavailable("model"));
  cr_assert_leq(sent, 15, "%d sent in two seconds", sent);
  const auto open = pool.Choose("model", {}, now + Millis(250));
  cr_assert(open.has_value());
  pool.OnProgress(*open, now + Millis(300));
  cr_assert_not(pool.IsUnavailable("model"));
  for (int i = 0; i < 5; ++i)
    cr_assert(pool.Choose("model", {}, now + Millis(300)).has_value());
}

// Guards against sending requests while a group waits for one of its ranks.
// They would be silent until their callers disconnect. Requests that are held
// back get a time to retry, or are sent as soon as the group continues.
Test(endpoint_pool, sends_nothing_while_all_streams_of_a_service_are_silent) {
  EndpointPool pool(
      "a", PoolLimits{}, 1, [](const std::string&) { return 0; },
      [](const std::string&) { return 1.0; });
  pool.OnInstances(ListOf(16));
  TimePoint now = kStart;
  std::vector<EndpointChoice> sent;
  for (int i = 0; i < 4; ++i) sent.push_back(*pool.Choose("model", {}, now));
  pool.OnProgress(sent[0], now);
  now += Millis(500);
  sent.push_back(*pool.Choose("model", {}, now));
  now += Millis(200);
  cr_assert_not(pool.Choose("model", {}, now).has_value());
  cr_assert(pool.IsUnavailable("model"));
  // All callers disconnect. One request then probes whether the service
  // continues.
  for (const EndpointChoice& choice : sent)
    pool.Release(choice, AttemptResult::kCancelled, now);
  now += Millis(1'000);
  const auto probe = pool.Choose("model", {}, now);
  cr_assert(probe.has_value());
  cr_assert_not(pool.Choose("model", {}, now).has_value());
  pool.OnProgress(*probe, now);
  cr_assert_not(pool.IsUnavailable("model"));
  cr_assert(pool.Choose("model", {}, now).has_value());
}

// Callers retry only once, so they must not be told to return before a group
// has formed again, nor much later.
Test(endpoint_pool, learns_how_long_outages_last) {
  for (const int outage_ms : {400, 6'000}) {
    EndpointPool pool(
        "a", PoolLimits{}, 1, [](const std::string&) { return 0; },
        [](const std::string&) { return 1.0; });
    pool.OnInstances(ListOf(16));
    TimePoint now = kStart;
    const auto refuse = [&pool, &now] {
      for (int i = 0; i < 3; ++i) {
        now += Millis(200);
        if (const auto choice = pool.Choose("model", {}, now))
          pool.Release(*choice, AttemptResult::kFull, now);
      }
    };
    refuse();
    cr_assert_eq(pool.ExpectedOutage("model"), PoolLimits{}.initial_outage);
    for (int outage = 0; outage < 10; ++outage) {
      refuse();
      const TimePoint end = now + Millis(outage_ms);
      const auto probe = pool.Choose("model", {}, end);
      cr_assert(probe.has_value());
      pool.Release(*probe, AttemptResult::kCompleted, end);
      cr_assert_eq(pool.ExpectedOutage("model").count(), 0);
      now = end + Millis(5'000);
      refuse();
    }
    // Refusals begin up to 600 ms before the last one, and are repeated once.
    const auto expected = pool.ExpectedOutage("model").count();
    cr_assert_geq(expected, outage_ms, "%d", static_cast<int>(expected));
    cr_assert_leq(expected, outage_ms + 1'200, "%d",
                  static_cast<int>(expected));
  }
}

Test(endpoint_pool, keeps_sending_when_one_endpoint_is_silent) {
  EndpointPool pool(
      "a", PoolLimits{}, 1, [](const std::string&) { return 0; },
      [](const std::string&) { return 1.0; });
  pool.OnInstances(ListOf(16));
  const auto silent = pool.Choose("model", {}, kStart);
  pool.OnProgress(*silent, kStart);
  cr_assert(pool.Choose("model", {}, kStart + Millis(5'000)).has_value());
}

Test(endpoint_pool, sends_nothing_to_a_leaving_endpoint) {
  EndpointPool pool(
      "a", PoolLimits{}, 1, [](const std::string&) { return 0; },
      [](const std::string&) { return 1.0; });
  auto list = ListOf(2);
  list.instances[0].state = membership::InstanceState::kLeaving;
  pool.OnInstances(list);
  for (int i = 0; i < 2; ++i)
    cr_assert_eq(pool.Choose("model", {}, kStart)->id, "e1");
  pool.OnInstances(ListOf(0));
  cr_assert_not(pool.Choose("model", {}, kStart).has_value());
}

}  // namespace banyanlane::direct
