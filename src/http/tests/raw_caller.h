#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace banyanlane::http {

/// Test caller that sends arbitrary bytes over a TCP connection.
class RawCaller {
 public:
  /// Connects to `port` on the loopback address.
  explicit RawCaller(std::uint16_t port);
  ~RawCaller();
  RawCaller(RawCaller&& other) noexcept;
  RawCaller(const RawCaller&) = delete;
  RawCaller& operator=(const RawCaller&) = delete;
  RawCaller& operator=(RawCaller&&) = delete;

  void Write(std::string_view text) const;
  /// Reads until `mark` has been received, the connection ends or no data
  /// arrives for ten seconds.
  /// @return the received text.
  std::string ReadUntil(std::string_view mark) const;
  std::string ReadToEnd() const { return this->ReadUntil("\nno such mark"); }
  /// Discards all data and returns whether the server closes the connection.
  /// Waits at most ten seconds for further data.
  bool IsClosedByServer() const;

 private:
  int descriptor;
};

}  // namespace banyanlane::http
