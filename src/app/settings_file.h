#pragma once

#include <cstdint>
#include <string>

namespace banyanlane::app {

/// Detects changes of the settings file.
class SettingsFile {
 public:
  explicit SettingsFile(std::string path);

  const std::string& path() const { return this->file_path; }

  /// Returns whether the file has changed since the previous call, or since
  /// construction.
  bool HasChanged();

 private:
  /// Modification time and size of the file.
  struct Stamp {
    std::int64_t seconds = 0;
    std::int64_t nanos = 0;
    std::int64_t bytes = 0;
    bool operator==(const Stamp& other) const {
      return this->seconds == other.seconds && this->nanos == other.nanos &&
             this->bytes == other.bytes;
    }
  };

  /// Returns the current stamp, or the last one if the file is missing.
  Stamp ReadStamp() const;

  std::string file_path;
  Stamp last_stamp;
};

}  // namespace banyanlane::app
