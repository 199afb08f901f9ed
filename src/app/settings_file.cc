#include "app/settings_file.h"

#include <sys/stat.h>

namespace banyanlane::app {

SettingsFile::SettingsFile(std::string path) : file_path(std::move(path)) {
  this->last_stamp = this->ReadStamp();
}

SettingsFile::Stamp SettingsFile::ReadStamp() const {
  struct stat found {};
  // The file can be missing for a moment while it is being replaced. This does
  // not count as a change.
  if (stat(this->file_path.c_str(), &found) != 0) return this->last_stamp;
  return {found.st_mtim.tv_sec, found.st_mtim.tv_nsec, found.st_size};
}

bool SettingsFile::HasChanged() {
  const Stamp now = this->ReadStamp();
  if (now == this->last_stamp) return false;
  this->last_stamp = now;
  return true;
}

}  // namespace banyanlane::app
