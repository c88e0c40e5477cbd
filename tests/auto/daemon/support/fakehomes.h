#pragma once

#include "interfaces/homes.h"

/** Every group has the same homes; the rank is settable. */
class FakeHomes : public papayaspindle::Homes
{
public:
  [[nodiscard]] std::vector<papayaspindle::InstanceId> HomesOf(
    const papayaspindle::GroupId& /*aGroup*/) const override
  {
    return mHomes;
  }

  [[nodiscard]] int OwnRank(const papayaspindle::GroupId& /*aGroup*/) const override
  {
    return mRank;
  }

  std::vector<papayaspindle::InstanceId> mHomes;
  int mRank = 0;
};
