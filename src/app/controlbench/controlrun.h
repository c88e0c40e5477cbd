#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace papayaspindle {

/** Size of one run. */
struct ControlSize
{
  std::size_t mNodes = 0;
  std::size_t mZones = 1;
  std::size_t mGroups = 0;
  double mChangesPerSecond = 0;
  std::chrono::seconds mDuration{ 20 };
  std::uint64_t mSeed = 1;
};

/** What one run measured. */
struct ControlFigures
{
  ControlSize mSize;
  /** Of one core. */
  double mCpuPercentPerNode = 0;
  /** Resident memory that the node adds to the process. Exact for the first run of a
   * process only: later runs reuse pages that earlier ones left. */
  double mRssMbPerNode = 0;
  /** Allocated memory that the node adds; stacks are not in it. */
  double mHeapMbPerNode = 0;
  /** Sent and received, peers and platform. */
  double mBytesPerSecondPerNode = 0;
  double mSpreadMsP99 = 0;
  double mSpreadMsMax = 0;
  std::size_t mChanges = 0;
  std::size_t mRefusedChanges = 0;
  /** Nodes that lack a change 5 s after the last one was accepted. */
  std::size_t mNodesBehind = 0;
  double mJoinSeconds = 0;
};

/** Starts the nodes, waits until they know each other, and measures. */
ControlFigures RunControlNodes(const ControlSize& aSize);

} // namespace papayaspindle
