#include "kernel/hash.h"

#include <fmt/format.h>
#include <xxhash.h>

#include <random>

namespace banyanlane::kernel {
namespace {

std::string FormatDigest(const XXH128_hash_t& hash) {
  return fmt::format("{:016x}{:016x}", hash.high64, hash.low64);
}

}  // namespace

struct DigestStream::State {
  XXH3_state_t* xxhash = XXH3_createState();
};

DigestStream::DigestStream() : state(std::make_unique<State>()) {
  XXH3_128bits_reset(this->state->xxhash);
}

DigestStream::~DigestStream() { XXH3_freeState(this->state->xxhash); }

void DigestStream::Add(std::string_view data) {
  XXH3_128bits_update(this->state->xxhash, data.data(), data.size());
}

std::string DigestStream::Finish() const {
  return FormatDigest(XXH3_128bits_digest(this->state->xxhash));
}

std::uint64_t Hash64(std::string_view data, std::uint64_t seed) {
  return XXH3_64bits_withSeed(data.data(), data.size(), seed);
}

std::string Digest(std::string_view data) {
  return FormatDigest(XXH3_128bits(data.data(), data.size()));
}

std::uint64_t RendezvousWeight(std::string_view key, std::string_view node) {
  return Hash64(node, Hash64(key));
}

std::string RandomId() {
  std::random_device source;
  std::string id;
  for (int word = 0; word < 4; ++word) id += fmt::format("{:08x}", source());
  return id;
}

}  // namespace banyanlane::kernel
