#pragma once

#include "core/error.h"
#include "experiment/faultscript.h"
#include "experiment/memberlogs.h"

#include <chrono>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace papayaspindle::experiment {

/** What one experiment does. */
struct ExperimentOptions
{
  /** "ip:port" of each entry instance. */
  std::vector<std::string> mEntries;
  /** Members whose logs are checked at the end; its groups get the load. */
  MemberAddresses mMembers;
  /** Sends to the primaries without entry instances, for comparison. */
  bool mDirect = false;
  std::string mMix;
  /** Requests per second; 0 for a closed loop. */
  double mRate = 0;
  bool mPoisson = false;
  std::chrono::seconds mLength{};
  std::size_t mSessions = 0;
  std::uint64_t mSeed = 0;
  std::chrono::milliseconds mViewAge{};
  std::chrono::milliseconds mTimeout{};
  std::chrono::milliseconds mGiveUp{};
  std::uint64_t mMovePercent = 0;
  std::uint64_t mVisitRequests = 0;
  std::vector<FaultStep> mFaults;
  /** File for the results; empty for standard output. */
  std::string mOutput;
};

/** @return names of the flags of the experiment */
std::span<const std::string_view> ExperimentFlags();

/** @return the options that the flags say; MalformedRequest naming the wrong flag */
Result<ExperimentOptions> OptionsFromFlags();

/**
 * Parses "GROUP=IP:PORT,GROUP=IP:PORT,...".
 *
 * @return the addresses of each group's members; MalformedRequest for anything else
 */
Result<MemberAddresses> ParseMembers(std::string_view aText);

} // namespace papayaspindle::experiment
