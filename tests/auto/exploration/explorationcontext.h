#pragma once

#include "exploration/connectivity.h"
#include "exploration/journal.h"
#include "exploration/randomsource.h"
#include "exploration/taskqueue.h"
#include "proxy/memberfaults.h"

namespace papayaspindle::exploration {

/** Name of the store in Connectivity. */
inline constexpr const char* kStoreName = "store";

/** What all parts of one sequence share. */
struct ExplorationContext
{
  explicit ExplorationContext(std::uint64_t aSeed)
    : mRandom(aSeed)
    , mJournal(aSeed, mClock)
  {
  }

  TaskQueue mClock;
  RandomSource mRandom;
  Journal mJournal;
  Connectivity mNetwork;
  /** Faults at random places, in parts per thousand; 0 outside the phase of faults. */
  std::uint64_t mLostAnswers = 0;
  std::uint64_t mLateAnswers = 0;
  std::uint64_t mRefusals = 0;
  /** Faulty members, which the checks must find. */
  proxy::MemberFaults mMemberFaults;
};

} // namespace papayaspindle::exploration
