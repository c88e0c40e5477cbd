#pragma once

#include "experiment/operation.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace papayaspindle::experiment {

class RegisterHistory;

/** What a session remembers of its own acknowledged writes. */
struct OwnWrites
{
  /** Highest value that the session made, by register. */
  std::map<std::string, std::uint64_t> mValues;
  /** A read of the session's last write of a key; used by reads of own writes. */
  std::optional<Operation> mReadLast;
};

/** Plans the requests of one user. Thread-safe. */
class WorkloadMix
{
public:
  virtual ~WorkloadMix() = default;

  /**
   * @param aRandom seeded for this request
   * @param aOwn the session's own writes
   * @param aUnique text that no other request of the experiment has
   */
  virtual Operation Next(std::mt19937_64& aRandom,
                         const OwnWrites& aOwn,
                         const std::string& aUnique) = 0;
};

/** What a mix is made from. */
struct MixOptions
{
  std::vector<GroupId> mGroups;
  /** Age that views and register reads accept. */
  std::chrono::milliseconds mViewAge{};
};

/**
 * @param aName "iazul" or "notices"
 * @param aHistory outlives the mix
 * @return the mix; null for another name
 */
std::unique_ptr<WorkloadMix> MakeMix(std::string_view aName,
                                     const MixOptions& aOptions,
                                     RegisterHistory& aHistory);

/** @return a number below aLimit; the same on every platform */
std::uint64_t Pick(std::mt19937_64& aRandom, std::uint64_t aLimit);

} // namespace papayaspindle::experiment
