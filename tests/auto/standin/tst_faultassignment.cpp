#include "standin/faultassignment.h"

#include <catch2/catch.hpp>

using namespace papayaspindle;
using namespace papayaspindle::standin;

// Guards against a fault script whose mistyped line silently does nothing.
TEST_CASE("fault assignments set the named field or are refused", "[standin]")
{
  struct Case
  {
    const char* mText;
    bool mOk;
    const char* mSettings;
  };
  const Case cases[] = {
    { "down=true", true, "down: true" },
    { "delay_ms=20", true, "delay_ms: 20" },
    { "lose_answers=2", true, "lose_answers: 2" },
    { "cut_off_from=a,b", true, "cut_off_from: \"a\" cut_off_from: \"b\"" },
    { "cut_off_from=", true, "" },
    { "down=", true, "" },
    { "delay_ms=soon", false, "" },
    { "no_such=1", false, "" },
    { "down", false, "" },
    { "down=1", false, "" },
  };
  for (const Case& one : cases) {
    CAPTURE(one.mText);
    v1::FaultSettings settings;
    CHECK(IsOk(AssignFault(one.mText, settings)) == one.mOk);
    CHECK(settings.ShortDebugString() == one.mSettings);
  }
}
