#include "processes/process_usage.h"

#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>

namespace banyanlane::processes {
namespace {

constexpr int kDecimal = 10;
constexpr int kHexadecimal = 16;
constexpr std::uint64_t kBytesPerKilobyte = 1'024;

std::string ProcessPath(pid_t pid) { return "/proc/" + std::to_string(pid); }

/// Returns the number in the line `name` of a status file, or 0.
std::uint64_t StatusField(const std::string& path, const std::string& name,
                          int base) {
  std::ifstream file(path);
  std::string line;
  while (std::getline(file, line)) {
    if (line.rfind(name + ":", 0) == 0)
      return std::stoull(line.substr(name.size() + 1), nullptr, base);
  }
  return 0;
}

}  // namespace

std::size_t CountDescriptors(pid_t pid) {
  const std::filesystem::directory_iterator entries(ProcessPath(pid) + "/fd");
  return static_cast<std::size_t>(std::distance(begin(entries), end(entries)));
}

std::uint64_t ResidentBytes(pid_t pid) {
  return StatusField(ProcessPath(pid) + "/status", "VmRSS", kDecimal) *
         kBytesPerKilobyte;
}

std::uint64_t PeakResidentBytes(pid_t pid) {
  return StatusField(ProcessPath(pid) + "/status", "VmHWM", kDecimal) *
         kBytesPerKilobyte;
}

std::vector<std::uint64_t> BlockedSignals(pid_t pid) {
  std::vector<std::uint64_t> masks;
  for (const auto& thread :
       std::filesystem::directory_iterator(ProcessPath(pid) + "/task")) {
    if (thread.path().filename() == std::to_string(pid)) continue;
    masks.push_back(StatusField(thread.path().string() + "/status", "SigBlk",
                                kHexadecimal));
  }
  return masks;
}

}  // namespace banyanlane::processes
