#include "experts/internal/counts_codec.h"

#include <criterion/criterion.h>

#include <cmath>

#include "link/codec.h"

namespace banyanlane::experts {
namespace {

/// Half of the step between two levels, and the rounding of small counts.
constexpr double kMaxError = 0.21;

}  // namespace

Test(counts_codec, returns_counts_of_about_the_same_size) {
  std::vector<std::uint64_t> counts;
  for (std::uint64_t count = 0; count <= 1'000; ++count)
    counts.push_back(count);
  const auto unpacked = UnpackCounts(PackCounts(counts));
  cr_assert(unpacked.has_value());
  cr_assert_eq(unpacked->size(), counts.size());
  cr_expect_eq(unpacked->front(), 0);
  cr_expect_eq(unpacked->back(), 1'000);
  for (std::size_t i = 10; i < counts.size(); ++i) {
    const auto count = static_cast<double>(counts[i]);
    const double error = std::abs(static_cast<double>((*unpacked)[i]) - count);
    cr_expect_leq(error, kMaxError * count, "%zu: %lu", i, (*unpacked)[i]);
  }
}

Test(counts_codec, takes_a_byte_for_two_counts) {
  const std::vector<std::uint64_t> counts(1'728, 40);
  cr_expect_leq(link::EncodedSize(PackCounts(counts)), counts.size() * 6 / 10);
}

Test(counts_codec, refuses_lists_of_another_form) {
  cr_expect_not(UnpackCounts({}).has_value());
  cr_expect_not(UnpackCounts({17, 4, 0}).has_value());
  cr_expect_not(UnpackCounts({1, 4, 0, 0}).has_value());
  const auto none = UnpackCounts(PackCounts({}));
  cr_assert(none.has_value());
  cr_expect(none->empty());
}

}  // namespace banyanlane::experts
