#include "runtime/grouptable.h"

#include <catch2/catch.hpp>

using namespace papayaspindle;

// Guards against a delayed message after which statements are routed to an old primary.
TEST_CASE("a group's view is replaced only by a higher term or the missing primary",
          "[runtime]")
{
  GroupTable table;
  const GroupId group("lanes");
  CHECK(table.OfferView({ group, 2, MemberId("b") }));
  CHECK_FALSE(table.OfferView({ group, 1, MemberId("a") }));
  CHECK_FALSE(table.OfferView({ group, 2, MemberId("c") }));
  CHECK(table.View(group).mPrimary == MemberId("b"));
  CHECK(table.OfferView({ group, 3, MemberId() }));
  CHECK(table.OfferView({ group, 3, MemberId("c") }));
  CHECK(table.View(group).mPrimary == MemberId("c"));
}

// Guards against a configuration that reverts when messages arrive out of order.
TEST_CASE("a group's settings are replaced only by a higher revision", "[runtime]")
{
  GroupTable table;
  GroupSettings settings;
  settings.mGroup = GroupId("lanes");
  settings.mRevision = 4;
  settings.mConnectionLimit = 16;
  CHECK(table.OfferSettings(settings));
  settings.mRevision = 3;
  settings.mConnectionLimit = 35;
  CHECK_FALSE(table.OfferSettings(settings));
  CHECK(table.Settings(settings.mGroup)->mConnectionLimit == 16);
}
