#include "proc_stat.h"

#include <unistd.h>

#include <fstream>
#include <sstream>

namespace banyanlane::bench {

double CpuSeconds(pid_t pid) {
  std::ifstream file("/proc/" + std::to_string(pid) + "/stat");
  std::string text;
  std::getline(file, text);
  // The process name in parentheses can contain spaces. The fields from the
  // state to the page faults follow it, and then the user and system time.
  std::istringstream fields(text.substr(text.rfind(')') + 2));
  std::string skipped;
  for (int i = 0; i < 11; ++i) fields >> skipped;
  double user = 0;
  double system = 0;
  fields >> user >> system;
  return (user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
}

double MemoryMegabytes(pid_t pid, const std::string& field) {
  std::ifstream file("/proc/" + std::to_string(pid) + "/status");
  std::string line;
  while (std::getline(file, line)) {
    if (line.rfind(field, 0) == 0)
      return std::stod(line.substr(field.size())) / 1024;
  }
  return 0;
}

double LoopbackBytes() {
  std::ifstream file("/proc/net/dev");
  std::string line;
  while (std::getline(file, line)) {
    const std::size_t position = line.find("lo:");
    if (position != std::string::npos)
      return std::stod(line.substr(position + 3));
  }
  return 0;
}

}  // namespace banyanlane::bench
