#include <criterion/criterion.h>

#include <fstream>
#include <sstream>

#include "kernel/event_log.h"
#include "kernel/module_registry.h"

namespace banyanlane::app {
namespace {

std::string ReadDoc(const std::string& name) {
  std::ifstream file(std::string(BANYANLANE_SOURCE_DIR) + "/docs/" + name);
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

/// Returns the number of lines that begin with `start`.
std::size_t CountRows(const std::string& text, const std::string& start) {
  std::size_t count = 0;
  for (std::size_t at = text.find("\n" + start); at != std::string::npos;
       at = text.find("\n" + start, at + 1)) {
    ++count;
  }
  return count;
}

}  // namespace

Test(docs, catalogue_holds_every_event_and_no_other) {
  const std::string text = ReadDoc("EVENTS.md");
  for (const kernel::EventRow& row : kernel::EventCatalogue()) {
    std::ostringstream line;
    line << "| BL0" << static_cast<int>(row.id) << " | " << row.name << " | "
         << row.meaning << " |";
    cr_expect_neq(text.find(line.str()), std::string::npos, "%s",
                  line.str().c_str());
  }
  cr_assert_eq(CountRows(text, "| BL"), kernel::EventCatalogue().size());
}

Test(docs, settings_page_holds_every_setting_and_no_other) {
  const std::string text = ReadDoc("SETTINGS.md");
  for (const std::string name : {"entry", "agent", "gateway", "rank"}) {
    const std::size_t start = text.find("## " + name + "\n");
    cr_assert_neq(start, std::string::npos, "%s", name.c_str());
    const std::string role_section =
        text.substr(start, text.find("\n## ", start) - start);
    const auto schema =
        kernel::ModuleRegistry::Instance().SchemaOf(*kernel::ParseRole(name));
    for (const kernel::SettingField& field : schema) {
      const std::string line =
          "| [" + field.section + "] " + field.key + " | " +
          (field.required ? "required" : field.default_text) + " | " +
          field.meaning + " |";
      cr_expect_neq(role_section.find(line), std::string::npos, "%s",
                    line.c_str());
    }
    cr_assert_eq(CountRows(role_section, "| ["), schema.size());
  }
}

}  // namespace banyanlane::app
