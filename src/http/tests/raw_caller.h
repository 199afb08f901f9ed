#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace banyanlane::http {

/// A caller that writes bytes of its own choice.
class RawCaller {
 public:
  /// Connects to `port` of this machine.
  explicit RawCaller(std::uint16_t port);
  ~RawCaller();
  RawCaller(RawCaller&& other) noexcept;
  RawCaller(const RawCaller&) = delete;
  RawCaller& operator=(const RawCaller&) = delete;
  RawCaller& operator=(RawCaller&&) = delete;

  void Write(std::string_view text) const;
  /// Reads until `mark` has come, the end of the connection, or ten seconds.
  std::string ReadUntil(std::string_view mark) const;
  std::string ReadToEnd() const { return this->ReadUntil("\nno such mark"); }
  /// Returns whether the server closes the connection within ten seconds.
  bool IsClosedByServer() const;

 private:
  int descriptor;
};

}  // namespace banyanlane::http
