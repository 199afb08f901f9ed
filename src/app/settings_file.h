#pragma once

#include <cstdint>
#include <string>

namespace banyanlane::app {

/// Notices that the settings file was replaced or written to.
class SettingsFile {
 public:
  explicit SettingsFile(std::string path);

  const std::string& path() const { return this->file_path; }

  /// Returns whether the file differs from when it was last asked about.
  bool HasChanged();

 private:
  /// What tells one state of the file from another.
  struct Stamp {
    std::int64_t seconds = 0;
    std::int64_t nanos = 0;
    std::int64_t bytes = 0;
    bool operator==(const Stamp& other) const {
      return this->seconds == other.seconds && this->nanos == other.nanos &&
             this->bytes == other.bytes;
    }
  };

  Stamp Look() const;

  std::string file_path;
  Stamp last;
};

}  // namespace banyanlane::app
