#include "standin/instancerows.h"

#include <catch2/catch.hpp>

#include <chrono>

using namespace papayaspindle;
using namespace papayaspindle::standin;
using std::chrono::milliseconds;

// Guards against a list that shows a mark before its lag has passed.
TEST_CASE("the instance list shows marks and removals one lag later", "[standin]")
{
  v1::ListInstancesReply all;
  all.add_instances()->set_instance("a");
  all.add_instances()->set_instance("b");
  const TimePoint start{};
  InstanceRows rows(all, start);
  v1::FaultSettings settings;
  settings.set_list_lag_ms(100);
  settings.add_leaving_instances("a");
  settings.add_ended("b");
  rows.SetFaults(settings, start + milliseconds(1000));

  const auto before = rows.Shown(start + milliseconds(1099));
  REQUIRE(before.instances_size() == 2);
  CHECK(before.instances(0).state() == v1::INSTANCE_STATE_LIVE);
  const auto after = rows.Shown(start + milliseconds(1100));
  REQUIRE(after.instances_size() == 1);
  CHECK(after.instances(0).state() == v1::INSTANCE_STATE_LEAVING);
}

TEST_CASE("lines of the instance file need four words", "[standin]")
{
  v1::ListedInstance instance;
  CHECK(ParseInstanceLine("e1 hobart 127.0.0.1:1 127.0.0.1:2", instance));
  CHECK(instance.caller_address() == "127.0.0.1:2");
  CHECK_FALSE(ParseInstanceLine("e1 hobart 127.0.0.1:1", instance));
  CHECK_FALSE(ParseInstanceLine("e1 hobart 127.0.0.1:1 127.0.0.1:2 x", instance));
}
