#include "direct/internal/direct_flow.h"

#include <criterion/criterion.h>

#include <memory>

namespace banyanlane::direct {
namespace {

using http::SendState;
using kernel::Millis;
using kernel::TimePoint;

constexpr TimePoint kStart = TimePoint{} + std::chrono::hours(1);

membership::InstanceList ListOf(int endpoints) {
  membership::InstanceList list;
  for (int i = 0; i < endpoints; ++i) {
    membership::Instance instance;
    instance.id = "e" + std::to_string(i);
    instance.role = membership::InstanceRole::kEndpoint;
    instance.address = "10.0.0.1:" + std::to_string(i + 1);
    instance.failure_domain = "a";
    instance.service = "model";
    instance.slots = 2;
    list.instances.push_back(instance);
  }
  return list;
}

config::Profile ProfileOf(bool streaming, bool repeatable) {
  config::Profile profile;
  profile.name = "p";
  profile.service = "model";
  profile.streaming = streaming;
  profile.resumable = streaming && repeatable;
  profile.repeatable = !streaming && repeatable;
  profile.attempts = 2;
  profile.deadline_ms = 8'000;
  profile.latency_goal_ms = 500;
  return profile;
}

AnswerHead HeadOf(int status) {
  AnswerHead head;
  head.status = status;
  head.is_signed = true;
  head.request_id = "r";
  return head;
}

/// One flow with its surroundings, and what it asked for last.
class World {
 public:
  World(bool streaming, bool repeatable, int endpoints = 3,
        RetryLimits retry_limits = {0.2, Millis(10'000), 100, 1.0})
      : pool(
            "a", PoolLimits{}, 1, [](const std::string&) { return 0; },
            [](const std::string&) { return 1.0; }),
        retries(retry_limits, TimePoint{}) {
    this->pool.OnInstances(ListOf(endpoints));
    auto snapshot = std::make_shared<config::ConfigSnapshot>();
    snapshot->profiles["p"] = ProfileOf(streaming, repeatable);
    DirectWork work;
    work.config = snapshot;
    work.profile = &snapshot->profiles.at("p");
    work.service = "model";
    work.request_id = "r";
    work.deadline_ms = 8'000;
    this->flow = std::make_unique<DirectFlow>(
        DirectContext{this->pool, this->retries, this->line, 1, DirectLimits{}},
        std::move(work), 1);
  }

  void Do(DirectActions actions) {
    for (DirectAction& action : actions) {
      if (const auto* release = std::get_if<ReleaseEndpoint>(&action))
        this->pool.Release(release->endpoint, release->result, kStart);
      this->actions.push_back(std::move(action));
    }
  }

  template <typename Action>
  const Action* Last() const {
    for (auto it = this->actions.rbegin(); it != this->actions.rend(); ++it) {
      if (const auto* found = std::get_if<Action>(&*it)) return found;
    }
    return nullptr;
  }

  template <typename Action>
  int Count() const {
    int count = 0;
    for (const DirectAction& action : this->actions)
      count += std::holds_alternative<Action>(action) ? 1 : 0;
    return count;
  }

  std::string Passed() const {
    std::string text;
    for (const DirectAction& action : this->actions) {
      if (const auto* events = std::get_if<PassEvents>(&action))
        text += events->text;
    }
    return text;
  }

  /// Takes all places of all endpoints.
  void Fill() {
    while (this->pool.Choose("model", {}, kStart)) {
    }
  }

  EndpointPool pool;
  RetryAllowance retries;
  WaitingLine line;
  std::unique_ptr<DirectFlow> flow;
  DirectActions actions;
};

}  // namespace

Test(direct_flow, passes_on_a_whole_plain_answer) {
  World world(false, false);
  world.Do(world.flow->Start(kStart));
  const auto* call = world.Last<CallEndpoint>();
  cr_assert_not_null(call);
  cr_assert_eq(call->terms.deadline_ms, 8'000);
  world.Do(world.flow->OnHead(1, HeadOf(200), kStart));
  world.Do(world.flow->OnData(1, "bo", kStart));
  world.Do(world.flow->OnData(1, "dy", kStart));
  cr_assert_null(world.Last<PassAnswer>());
  world.Do(world.flow->OnEnd(1, kStart));
  cr_assert_eq(world.Last<PassAnswer>()->response.body, "body");
  cr_assert(world.flow->IsDone());
}

Test(direct_flow, says_not_run_only_of_what_was_not_run) {
  World lost(false, false);
  lost.Do(lost.flow->Start(kStart));
  lost.Do(lost.flow->OnFailed(1, SendState::kMaybeSent, kStart));
  cr_assert_eq(lost.Last<Refuse>()->status, 502);
  cr_assert_lt(lost.Last<Refuse>()->retry_after_ms, 0);

  World refused(false, false, 1);
  refused.Do(refused.flow->Start(kStart));
  AnswerHead full = HeadOf(503);
  full.not_run = true;
  refused.Do(refused.flow->OnHead(1, full, kStart));
  cr_assert_eq(refused.Last<Refuse>()->status, 503);
  cr_assert_geq(refused.Last<Refuse>()->retry_after_ms, 0);

  World claimed(false, false);
  claimed.Do(claimed.flow->Start(kStart));
  claimed.Do(claimed.flow->OnHead(1, HeadOf(503), kStart));
  claimed.Do(claimed.flow->OnEnd(1, kStart));
  cr_assert_eq(claimed.Last<Refuse>()->status, 502,
               "a 503 without proof may have run");

  World late(false, false);
  late.Do(late.flow->Start(kStart));
  late.Do(late.flow->OnTimer(kStart + Millis(8'000)));
  cr_assert_eq(late.Last<Refuse>()->status, 504);
}

Test(direct_flow, never_sends_again_what_must_not_repeat) {
  World world(false, false);
  world.Do(world.flow->Start(kStart));
  world.Do(world.flow->OnTimer(kStart + Millis(4'000)));
  world.Do(world.flow->OnHead(1, HeadOf(200), kStart));
  world.Do(world.flow->OnData(1, "half", kStart));
  world.Do(world.flow->OnFailed(1, SendState::kMaybeSent, kStart));
  cr_assert_eq(world.Count<CallEndpoint>(), 1);
  cr_assert_eq(world.Last<Refuse>()->status, 502);
}

Test(direct_flow, tries_another_endpoint_that_was_not_reached) {
  World world(false, false);
  world.Do(world.flow->Start(kStart));
  const std::string first = world.Last<CallEndpoint>()->endpoint.id;
  world.Do(world.flow->OnFailed(1, SendState::kNotSent, kStart));
  cr_assert_eq(world.Count<CallEndpoint>(), 2);
  cr_assert_neq(world.Last<CallEndpoint>()->endpoint.id, first);
}

Test(direct_flow, goes_on_elsewhere_after_the_last_whole_event) {
  World world(true, true);
  world.Do(world.flow->Start(kStart));
  world.Do(world.flow->OnHead(1, HeadOf(200), kStart));
  world.Do(world.flow->OnData(1, "id: 1\ndata: a\n\nid: 2\nda", kStart));
  world.Do(world.flow->OnFailed(1, SendState::kMaybeSent, kStart));
  cr_assert_eq(*world.Last<CallEndpoint>()->terms.last_event_id, 1);
  world.Do(world.flow->OnHead(2, HeadOf(200), kStart));
  world.Do(
      world.flow->OnData(2, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", kStart));
  world.Do(world.flow->OnEnd(2, kStart));
  cr_assert_eq(world.Passed(), "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
  cr_assert_eq(world.Count<PassHead>(), 1);
  cr_assert_eq(world.Count<PassEnd>(), 1);
}

Test(direct_flow, cuts_a_stream_with_a_gap_or_a_torn_end) {
  World gap(true, false);
  gap.Do(gap.flow->Start(kStart));
  gap.Do(gap.flow->OnHead(1, HeadOf(200), kStart));
  gap.Do(gap.flow->OnData(1, "id: 1\n\nid: 3\n\n", kStart));
  cr_assert_eq(gap.Passed(), "id: 1\n\n");
  cr_assert_eq(gap.Count<CutAnswer>(), 1);

  World torn(true, false);
  torn.Do(torn.flow->Start(kStart));
  torn.Do(torn.flow->OnHead(1, HeadOf(200), kStart));
  torn.Do(torn.flow->OnData(1, "id: 1\n\nid: 2", kStart));
  torn.Do(torn.flow->OnEnd(1, kStart));
  cr_assert_eq(torn.Count<CutAnswer>(), 1);
  cr_assert_eq(torn.Count<PassEnd>(), 0);
}

// A refusal that was written behind the part of a stream that the caller had
// is no answer in the protocol.
Test(direct_flow, cuts_a_stream_that_finds_no_room_elsewhere) {
  World world(true, true, 2);
  world.Do(world.flow->Start(kStart));
  world.Do(world.flow->OnHead(1, HeadOf(200), kStart));
  world.Do(world.flow->OnData(1, "id: 1\n\n", kStart));
  world.Fill();
  world.Do(world.flow->OnFailed(1, SendState::kMaybeSent, kStart));
  world.Do(world.flow->OnTimer(kStart + Millis(8'000)));
  cr_assert_eq(world.Count<CutAnswer>(), 1);
  cr_assert_eq(world.Count<Refuse>(), 0);
  cr_assert(world.flow->IsDone());
}

// Ranks of one group wait for one another: leaving one for another costs the
// prompt once more and brings nothing.
Test(direct_flow, leaves_a_silent_endpoint_only_while_others_answer) {
  World world(true, true);
  world.Do(world.flow->Start(kStart));
  const auto silent = kStart + DirectLimits{}.silence;
  world.Do(world.flow->OnTimer(silent));
  cr_assert_eq(world.Count<CallEndpoint>(), 1);
  cr_assert_gt(world.flow->NextTimer().time_since_epoch().count(),
               silent.time_since_epoch().count());
  const auto& here = world.Last<CallEndpoint>()->endpoint;
  EndpointChoice other = here;
  other.id = here.id == "e0" ? "e1" : "e0";
  world.pool.OnProgress(other, silent);
  world.Do(world.flow->OnTimer(world.flow->NextTimer()));
  cr_assert_eq(world.Count<CallEndpoint>(), 2);
}

Test(direct_flow, ignores_what_comes_of_an_abandoned_attempt) {
  World world(true, true);
  world.Do(world.flow->Start(kStart));
  AnswerHead foreign = HeadOf(200);
  foreign.request_id = "another";
  world.Do(world.flow->OnHead(1, foreign, kStart));
  cr_assert_eq(world.Count<AbandonCall>(), 1);
  world.Do(world.flow->OnData(1, "id: 1\ndata: foreign\n\n", kStart));
  cr_assert_eq(world.Passed(), "");
  cr_assert_eq(world.Count<CallEndpoint>(), 2);
}

Test(direct_flow, waits_for_room_and_gives_up_in_time) {
  World world(true, true);
  world.Fill();
  world.Do(world.flow->Start(kStart));
  cr_assert_eq(world.Count<CallEndpoint>(), 0);
  cr_assert_neq(world.flow->WaitingTicket(), 0);
  world.Do(world.flow->OnTimer(kStart + DirectLimits{}.longest_stream_wait));
  cr_assert_eq(world.Last<Refuse>()->status, 503);
  cr_assert_eq(world.line.Length("model"), 0);
}

// The load it answers: callers that all come back while a group forms anew.
Test(direct_flow, waits_for_a_service_that_refuses_everything) {
  World world(true, true, 16);
  for (int i = 0; i < 40; ++i) {
    const auto ticket = world.line.Join("model", 0, kStart);
    if (i % 2 == 0) world.line.Leave("model", 0, ticket);
    world.line.OnServed("model", kStart + Millis(i * 200));
  }
  for (int i = 0; i < 3; ++i) {
    const auto choice = world.pool.Choose("model", {}, kStart);
    world.pool.Release(*choice, AttemptResult::kFull, kStart);
  }
  world.Do(world.flow->Start(kStart + Millis(8'000)));
  cr_assert_null(world.Last<Refuse>());
  cr_assert_neq(world.flow->WaitingTicket(), 0);
  world.Do(world.flow->OnTimer(kStart + Millis(9'500)));
  cr_assert_geq(world.Last<Refuse>()->retry_after_ms, 750);
}

Test(direct_flow, abandons_the_call_of_a_caller_who_left) {
  World world(true, true);
  world.Do(world.flow->Start(kStart));
  world.Do(world.flow->OnCallerGone(kStart));
  cr_assert_eq(world.Count<AbandonCall>(), 1);
  cr_assert(world.flow->IsDone());
}

// The load it answers: more requests than there is room for, so that some are
// late whatever is done.
Test(waiting_line, lets_those_in_first_that_can_be_in_time) {
  WaitingLine line;
  const auto early = kStart + Millis(100);
  const auto late = kStart + Millis(300);
  const auto first = line.Join("s", 1, early);
  const auto second = line.Join("s", 1, late);
  const auto urgent = line.Join("s", 0, early);
  cr_assert_eq(*line.First("s", kStart), urgent);
  line.Leave("s", 0, urgent);
  cr_assert_eq(*line.First("s", kStart), first);
  cr_assert_eq(*line.First("s", early), second);
  line.Leave("s", 1, second);
  cr_assert_eq(*line.First("s", early), first, "late, but not forgotten");
}

// A process that has just started does not know what an earlier life of it,
// and peers that it has not met, have used.
Test(retry_allowance, brings_the_slack_back_over_one_window) {
  const RetryLimits limits{0.2, Millis(10'000), 90, 0.75};
  RetryAllowance fresh(limits, kStart);
  cr_assert_not(fresh.Take("s", 1, kStart));
  int taken = 0;
  const auto later = kStart + Millis(10'000);
  while (fresh.Take("s", 7, later)) ++taken;
  cr_assert_eq(taken, 9, "%d", taken);
}

Test(endpoint_pool, leaves_a_replaced_endpoint_alone_until_listed_anew) {
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

// The load it answers: all requests of the seconds in which a group that has
// lost a rank forms anew. Each one sent would be refused, and callers come back
// only once.
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
  cr_assert(pool.IsClosed("model"));
  cr_assert_leq(sent, 15, "%d sent in two seconds", sent);
  const auto open = pool.Choose("model", {}, now + Millis(250));
  cr_assert(open.has_value());
  pool.OnProgress(*open, now + Millis(300));
  cr_assert_not(pool.IsClosed("model"));
  for (int i = 0; i < 5; ++i)
    cr_assert(pool.Choose("model", {}, now + Millis(300)).has_value());
}

// The load it answers: all requests of the seconds in which a group waits for
// one of its ranks. Those sent would be silent until their callers leave; those
// held back are told when to come, or begin as soon as the group goes on.
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
  cr_assert(pool.IsClosed("model"));
  // All callers leave: one request tries whether the service goes on.
  for (const EndpointChoice& choice : sent)
    pool.Release(choice, AttemptResult::kCancelled, now);
  now += Millis(1'000);
  const auto probe = pool.Choose("model", {}, now);
  cr_assert(probe.has_value());
  cr_assert_not(pool.Choose("model", {}, now).has_value());
  pool.OnProgress(*probe, now);
  cr_assert_not(pool.IsClosed("model"));
  cr_assert(pool.Choose("model", {}, now).has_value());
}

Test(endpoint_pool, goes_on_beside_one_silent_endpoint) {
  EndpointPool pool(
      "a", PoolLimits{}, 1, [](const std::string&) { return 0; },
      [](const std::string&) { return 1.0; });
  pool.OnInstances(ListOf(16));
  const auto silent = pool.Choose("model", {}, kStart);
  pool.OnProgress(*silent, kStart);
  cr_assert(pool.Choose("model", {}, kStart + Millis(5'000)).has_value());
}

Test(endpoint_pool, gives_no_work_to_a_leaving_endpoint) {
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
