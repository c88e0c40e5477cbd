#include "standin/tablerows.h"

#include <catch2/catch.hpp>

using namespace papayaspindle;
using namespace papayaspindle::standin;

namespace {

v1::TransactReply
Set(TableRows& aRows,
    const std::string& aKey,
    std::uint64_t aIfVersion,
    bool aRemove = false)
{
  v1::TransactRequest request;
  v1::RowCondition* condition = request.add_conditions();
  condition->set_table("t");
  condition->set_key(aKey);
  condition->set_version(aIfVersion);
  for (const std::string& key : { aKey, "also-" + aKey }) {
    v1::RowChange* change = request.add_changes();
    change->set_table("t");
    change->set_key(key);
    change->set_value("v");
    change->set_remove(aRemove);
  }
  return aRows.Transact(request);
}

std::uint64_t
VersionOf(const TableRows& aRows, const std::string& aKey)
{
  v1::TableReadRequest request;
  request.set_table("t");
  request.set_key(aKey);
  return aRows.Read(request).version();
}

} // namespace

// Guards against a transaction that applies in part, and against a reused version that
// would let a paused writer's condition hold again.
TEST_CASE("transactions are conditional and all-or-nothing", "[standin]")
{
  TableRows rows;
  REQUIRE(Set(rows, "a", 0).committed());
  const std::uint64_t first = VersionOf(rows, "a");
  const v1::TransactReply again = Set(rows, "a", 0);
  CHECK_FALSE(again.committed());
  REQUIRE(again.conflicts_size() == 1);
  CHECK(again.conflicts(0).version() == first);
  CHECK(VersionOf(rows, "also-a") != 0);
  REQUIRE(Set(rows, "a", first, true).committed());
  CHECK(VersionOf(rows, "also-a") == 0);
  REQUIRE(Set(rows, "a", 0).committed());
  CHECK(VersionOf(rows, "a") > first);
}

TEST_CASE("a scan is ordered, bounded and of one table", "[standin]")
{
  TableRows rows;
  for (const char* key : { "c", "a", "b" }) {
    REQUIRE(Set(rows, key, 0).committed());
  }
  v1::TableScanRequest request;
  request.set_table("t");
  request.set_from_key("also-b");
  request.set_to_key("c");
  const v1::TableScanReply all = rows.Scan(request);
  REQUIRE(all.rows_size() == 3);
  CHECK(all.rows(0).key() == "also-b");
  CHECK(all.rows(2).key() == "b");
  CHECK_FALSE(all.more());
  request.set_limit(1);
  CHECK(rows.Scan(request).more());
  request.set_table("other");
  CHECK(rows.Scan(request).rows_size() == 0);
}
