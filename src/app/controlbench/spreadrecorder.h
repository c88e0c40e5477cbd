#pragma once

#include "controlbench/benchplatform.h"
#include "runtime/grouptable.h"

#include <mutex>
#include <vector>

namespace papayaspindle {

/** Times from the commit of a change until it is in force at each node. Thread-safe. */
class SpreadSamples
{
public:
  void Add(double aMilliseconds);
  /** @return the samples so far, which are then forgotten */
  std::vector<double> Take();

private:
  std::mutex mMutex;
  std::vector<double> mSamples;
};

/** A node's group table that notes when settings come into force. */
class SpreadRecorder : public GroupTable
{
public:
  SpreadRecorder(const BenchPlatform& aPlatform, SpreadSamples& aSamples);
  bool OfferSettings(const GroupSettings& aSettings) override;

private:
  const BenchPlatform& mPlatform;
  SpreadSamples& mSamples;
};

} // namespace papayaspindle
