#include <criterion/criterion.h>

#include <cstdlib>
#include <fstream>
#include <sstream>

#include "sessions/session_script.h"

namespace banyanlane::sessions {
namespace {

/// Runs the commands of the golden file `name` and checks that the result
/// equals the file. With the environment variable BANYANLANE_UPDATE_GOLDEN set,
/// the result overwrites the file instead.
void CheckSession(const std::string& name) {
  const std::string path = std::string(BANYANLANE_SOURCE_DIR) +
                           "/tests/sessions/golden/" + name + ".session";
  std::ifstream file(path);
  cr_assert(file.good(), "%s could not be read", path.c_str());
  std::stringstream expected;
  expected << file.rdbuf();
  const std::string actual = PlaySession(expected.str());
  if (std::getenv("BANYANLANE_UPDATE_GOLDEN") != nullptr) {
    std::ofstream(path) << actual;
    return;
  }
  cr_assert(actual == expected.str(),
            "%s differs from its golden file; actual result:\n%s", name.c_str(),
            actual.c_str());
}

}  // namespace

#define SESSION(name) \
  Test(session, name) { CheckSession(#name); }

SESSION(streamed_chat)
SESSION(retry_after_refusal)
SESSION(entry_killed_answer_resumed)
SESSION(link_cut_mid_stream)
SESSION(request_delayed_past_revocation)
SESSION(agent_restarted_before_answer)
SESSION(close_sent_again_elsewhere)
SESSION(close_after_home_restarted)
SESSION(key_spent_by_refusal)
SESSION(poison_among_neighbours)
SESSION(leaving_refuses_and_finishes)
SESSION(caller_walks_away)
SESSION(late_frames_of_old_attempt)
SESSION(lost_part_is_asked_for_again)
SESSION(held_back_engine_goes_on_after_resume)
SESSION(lost_last_part_is_no_whole_answer)

}  // namespace banyanlane::sessions
