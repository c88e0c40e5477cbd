#include "observe/logline.h"

#include <catch2/catch.hpp>

#include <vector>

using namespace papayaspindle;

// Guards against values with blanks or line ends that a reader of the log mistakes for
// further fields or lines.
TEST_CASE("values with special characters are quoted within one log line", "[observe]")
{
  const auto time =
    std::chrono::system_clock::time_point(std::chrono::milliseconds(1'700'000'000'007));
  const std::vector<LogField> fields{
    { "plain", "10.0.0.1:7000" }, { "blank", "a b" }, { "empty", "" }, { "line", "a\n\"" }
  };
  CHECK(FormatLogLine(time, LogLevel::Warning, "failover", "primary_suspected", fields) ==
        "2023-11-14T22:13:20.007Z warning failover primary_suspected "
        "plain=10.0.0.1:7000 blank=\"a b\" empty=\"\" line=\"a\\u000a\\\"\"\n");
}

// Guards against a subsystem's level that also applies to other subsystems.
TEST_CASE("log levels are set for one subsystem or for all", "[observe]")
{
  SetLogLevel("", LogLevel::Warning);
  SetLogLevel("monitor", LogLevel::Debug);
  CHECK(IsLogged(LogLevel::Debug, "monitor"));
  CHECK_FALSE(IsLogged(LogLevel::Info, "failover"));
  CHECK(IsLogged(LogLevel::Error, "failover"));
  SetLogLevel("", LogLevel::Error);
  CHECK_FALSE(IsLogged(LogLevel::Warning, "monitor"));
  CHECK(LogLevelFromName("warning") == LogLevel::Warning);
  CHECK_FALSE(LogLevelFromName("loud"));
}
