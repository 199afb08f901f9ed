#include "kernel/settings.h"

#include <criterion/criterion.h>

namespace banyanlane::kernel {
namespace {

const Settings::Schema kSchema = {
    {"node", "id", SettingKind::kText, "", true, 0, 0, ""},
    {"link", "misses", SettingKind::kInteger, "3", false, 2, 20, ""},
};

std::string ProblemIn(std::string_view text) {
  const auto parsed = Settings::Parse(text, "s.ini", kSchema);
  const Error* error = ErrorOf(parsed);
  return error == nullptr ? "" : error->detail;
}

}  // namespace

Test(settings, names_file_line_and_field_of_each_problem) {
  const std::pair<const char*, const char*> cases[] = {
      {"[node]\nid=a\n[link]\nmisses=3\n", ""},
      {"[node]\nid=a\n[link]\nmisses=99\n",
       "s.ini:4: [link] misses: 99 is outside 2..20"},
      {"[node]\nid=a\n\n[link]\nmisses=x\n",
       "s.ini:5: [link] misses: 'x' is not an integer"},
      {"[node]\nid=a\ncolour=red\n", "s.ini:3: [node] colour: unknown setting"},
      {"[link]\nmisses=3\n", "s.ini:0: [node] id: required, but missing"},
      {"[node]\nid=a\nid=b\n", "s.ini:3: duplicate key name"},
      {"[node]\nid\n", "s.ini:2: '=' character not found in line"},
  };
  for (const auto& [text, problem] : cases) {
    cr_assert_eq(ProblemIn(text), problem, "%s", ProblemIn(text).c_str());
  }
}

}  // namespace banyanlane::kernel
