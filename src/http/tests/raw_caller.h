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
  /// Connects to `address`, an "IP:PORT".
  /// @param receive_bytes size of the receive buffer; 0 for the system's.
  RawCaller(const std::string& address, int receive_bytes);
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
  /// Reads the next bytes, at most `max_bytes`.
  /// @return the bytes, or "" at the end of the connection or when no data
  /// arrives for ten seconds.
  std::string ReadSome(std::size_t max_bytes) const;
  /// Discards all data and returns whether the server closes the connection.
  /// Waits at most ten seconds for further data.
  bool IsClosedByServer() const;

 private:
  int descriptor;
};

}  // namespace banyanlane::http
