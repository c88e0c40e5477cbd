#pragma once

#include "core/timetypes.h"
#include "observe/log.h"

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

namespace papayaspindle {

/**
 * Structured log of one thread. Lines are collected in memory and written to a descriptor
 * by one system call in each turn of the event loop. The log never blocks: lines beyond
 * the rate limit or the buffer size are dropped and counted. Warnings and errors have a
 * higher rate limit than other lines.
 */
class EventLog
{
public:
  /**
   * @param aDescriptor descriptor to write to; set to non-blocking mode
   * @param aInstance value of the field "instance" in each line
   * @param aLinesPerSecond rate limit for lines of level Info and below
   */
  EventLog(int aDescriptor, std::string aInstance, std::uint32_t aLinesPerSecond);

  /** Adds a line to the buffer, or drops it. */
  void Write(LogLevel aLevel,
             std::string_view aSubsystem,
             std::string_view aEvent,
             std::initializer_list<LogField> aFields,
             TimePoint aNow);
  /** Writes the buffered lines to the descriptor. */
  void Flush();

  /** @return number of lines dropped so far */
  [[nodiscard]] std::uint64_t DroppedLines() const { return mDroppedLines; }

private:
  /** Starts a new window of one second when the last one is over, and logs the number of
   * lines dropped since the last report. */
  void StartRateWindow(TimePoint aNow);

  int mDescriptor;
  std::string mInstance;
  std::uint32_t mLinesPerSecond;
  std::string mBuffer;
  TimePoint mRateWindowStart;
  std::uint32_t mLinesInWindow = 0;
  std::uint64_t mDroppedLines = 0;
  std::uint64_t mReportedDroppedLines = 0;
};

} // namespace papayaspindle
