#include "standin/statement.h"

#include <catch2/catch.hpp>

#include <optional>

using namespace papayaspindle;
using namespace papayaspindle::standin;

// Guards against statements that are taken for others when operands are missing.
TEST_CASE("statements are parsed or refused as a whole", "[standin]")
{
  struct Case
  {
    const char* mText;
    std::optional<Statement> mStatement;
  };
  const Case cases[] = {
    { "PUT k a value", Statement{ Verb::Put, "k", "a value" } },
    { "ADD k v", Statement{ Verb::Add, "k", "v" } },
    { "GET k", Statement{ Verb::Get, "k", "" } },
    { "DEL k", Statement{ Verb::Delete, "k", "" } },
    { "INCR k", Statement{ Verb::Increment, "k", "" } },
    { "COUNT p", Statement{ Verb::Count, "p", "" } },
    { "LIST", Statement{ Verb::List, "", "" } },
    { "", std::nullopt },
    { "put k v", std::nullopt },
    { "PUT k", std::nullopt },
    { "GET", std::nullopt },
    { "GET k extra", std::nullopt },
    { "LIST p extra", std::nullopt },
    { "DROP k", std::nullopt },
  };
  for (const Case& one : cases) {
    CAPTURE(one.mText);
    const Result<Statement> parsed = ParseStatement(one.mText);
    REQUIRE(IsOk(parsed) == one.mStatement.has_value());
    if (one.mStatement.has_value()) {
      CHECK(ValueOf(parsed) == *one.mStatement);
    }
  }
}
