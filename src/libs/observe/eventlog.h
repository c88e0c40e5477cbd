#pragma once

#include "core/timetypes.h"
#include "observe/log.h"

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

namespace papayaspindle {

/**
 * Structured log of one thread, collected in memory and written to a descriptor in one
 * call for each turn of its event loop. Never blocks: what exceeds the rate or the buffer
 * is dropped and counted. Warnings and errors have a larger share than the rest.
 */
class EventLog
{
public:
  /**
   * @param aDescriptor made non-blocking
   * @param aLinesPerSecond of level Info and below
   */
  EventLog(int aDescriptor, std::string aInstance, std::uint32_t aLinesPerSecond);

  void Write(LogLevel aLevel,
             std::string_view aSubsystem,
             std::string_view aEvent,
             std::initializer_list<LogField> aFields,
             TimePoint aNow);
  /** Writes what was collected. */
  void Flush();

  /** @return lines dropped since the start */
  [[nodiscard]] std::uint64_t Dropped() const { return mDropped; }

private:
  void StartSecond(TimePoint aNow);

  int mDescriptor;
  std::string mInstance;
  std::uint32_t mLinesPerSecond;
  std::string mBuffer;
  TimePoint mSecondStart;
  std::uint32_t mLinesThisSecond = 0;
  std::uint64_t mDropped = 0;
  std::uint64_t mReportedDropped = 0;
};

} // namespace papayaspindle
