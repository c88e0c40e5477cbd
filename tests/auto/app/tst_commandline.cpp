#include "commandline/commandline.h"

#include <catch2/catch.hpp>
#include <gflags/gflags.h>

#include <array>
#include <string>
#include <vector>

DEFINE_string(word, "", "a word");
DEFINE_int32(count, 3, "a number");
DEFINE_bool(loud, false, "a switch");
DEFINE_bool(hidden, false, "a switch of another verb");

using namespace papayaspindle;

namespace {

std::variant<CommandLine, UsageError>
Parse(std::vector<std::string> aArguments)
{
  constexpr std::array<std::string_view, 3> kFlags{ "word", "count", "loud" };
  std::vector<char*> pointers;
  pointers.reserve(aArguments.size());
  for (std::string& argument : aArguments) {
    pointers.push_back(argument.data());
  }
  return ParseCommandLine(pointers, kFlags);
}

} // namespace

TEST_CASE("flags are taken out of the words", "[app]")
{
  const auto parsed =
    Parse({ "groups", "--word=a=b", "--count", "7", "show", "--loud", "--help" });
  REQUIRE(parsed.index() == 0);
  const CommandLine& line = std::get<CommandLine>(parsed);
  CHECK(line.mWords == std::vector<std::string>{ "groups", "show" });
  CHECK(line.mHelp);
  CHECK(FLAGS_word == "a=b");
  CHECK(FLAGS_count == 7);
  CHECK(FLAGS_loud);
  CHECK(Parse({ "--noloud" }).index() == 0);
  CHECK_FALSE(FLAGS_loud);
}

// Guards against a mistyped flag that is taken as done.
TEST_CASE("a wrong flag is refused", "[app]")
{
  for (const char* argument : { "--wrod=a", "--count=many", "--count", "--hidden" }) {
    INFO(argument);
    CHECK(Parse({ argument }).index() == 1);
  }
}
