#include "link/codec.h"

#include <criterion/criterion.h>

#include <random>

namespace banyanlane::link {
namespace {

Submit MakeSubmit() {
  Submit submit;
  submit.request = "r.1";
  submit.attempt = 3;
  submit.organisation = "org";
  submit.headers = {{"a", "b"}, {"c", ""}};
  submit.body = Blob{std::string("\0\xff text", 7)};
  return submit;
}

}  // namespace

Test(codec, returns_every_field) {
  const auto decoded = Decode(Encode(MakeSubmit()));
  const auto& submit = std::get<Submit>(std::get<Message>(decoded));
  cr_assert_eq(submit.request, "r.1");
  cr_assert_eq(submit.attempt, 3);
  cr_assert(submit.headers == MakeSubmit().headers);
  cr_assert_eq(submit.body.bytes, MakeSubmit().body.bytes);
  Evidence evidence{"f", Suspicion::kQuarantined, {"a", "b"}, 9};
  const auto decoded_evidence = Decode(Encode(evidence));
  cr_assert(std::get<Evidence>(std::get<Message>(decoded_evidence)).crashes ==
            evidence.crashes);
}

Test(codec, refuses_every_truncated_frame) {
  const std::string frame = Encode(MakeSubmit());
  for (std::size_t length = 0; length < frame.size(); ++length) {
    cr_assert(kernel::ErrorOf(Decode(frame.substr(0, length))) != nullptr,
              "%zu", length);
  }
}

Test(codec, refuses_or_decodes_damaged_frames) {
  std::mt19937_64 random(7);
  const std::string frame = Encode(MakeSubmit());
  int refused = 0;
  for (int i = 0; i < 20'000; ++i) {
    std::string damaged = frame;
    for (std::size_t changes = 1 + random() % 4; changes > 0; --changes) {
      damaged[random() % damaged.size()] = static_cast<char>(random());
    }
    refused += kernel::ErrorOf(Decode(damaged)) != nullptr ? 1 : 0;
  }
  cr_assert_gt(refused, 2'000);
}

}  // namespace banyanlane::link
