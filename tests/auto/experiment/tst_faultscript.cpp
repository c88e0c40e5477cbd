#include "experiment/experimentoptions.h"
#include "experiment/faultscript.h"

#include <catch2/catch.hpp>

using namespace papayaspindle;
using namespace papayaspindle::experiment;
using std::chrono::milliseconds;

// Guards against a fault script whose mistyped line silently does nothing.
TEST_CASE("fault scripts are parsed or refused as a whole", "[experiment]")
{
  const auto parsed = ParseFaultScript("# comment\n"
                                       "2000 clear 127.0.0.1:1\n"
                                       "\n"
                                       "500 set 127.0.0.1:1 down=true delay_ms=5\n"
                                       "700 report kill pond-core-1-a\n");
  REQUIRE(IsOk(parsed));
  const std::vector<FaultStep> expected = {
    { milliseconds(500), FaultAction::Set, "127.0.0.1:1", { "down=true", "delay_ms=5" } },
    { milliseconds(700), FaultAction::Report, "", { "kill", "pond-core-1-a" } },
    { milliseconds(2000), FaultAction::Clear, "127.0.0.1:1", {} },
  };
  CHECK(ValueOf(parsed) == expected);
  for (const char* wrong : { "soon clear 127.0.0.1:1",
                             "-1 clear 127.0.0.1:1",
                             "1 set 127.0.0.1:1",
                             "1 set 127.0.0.1:1 downn=true",
                             "1 clear",
                             "1 clear 127.0.0.1:1 down=true",
                             "1 report",
                             "1 kill 127.0.0.1:1" }) {
    CAPTURE(wrong);
    CHECK_FALSE(IsOk(ParseFaultScript(wrong)));
  }
}

TEST_CASE("members are named by group", "[experiment]")
{
  const auto members = ParseMembers("a=127.0.0.1:1,b=127.0.0.1:2,a=127.0.0.1:3");
  REQUIRE(IsOk(members));
  CHECK(ValueOf(members).at(GroupId("a")).size() == 2);
  for (const char* wrong : { "127.0.0.1:1", "=127.0.0.1:1", "a=" }) {
    CAPTURE(wrong);
    CHECK_FALSE(IsOk(ParseMembers(wrong)));
  }
}
