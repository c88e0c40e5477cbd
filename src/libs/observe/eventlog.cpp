#include "observe/eventlog.h"

#include "observe/logline.h"

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <vector>

namespace papayaspindle {

namespace {

// Failures matter most in the log, so warnings and errors may exceed the rate limit of
// other lines by this factor.
constexpr std::uint32_t kWarningRateFactor = 4;
constexpr std::size_t kMaxBufferedBytes = 1U << 18U;

} // namespace

EventLog::EventLog(int aDescriptor, std::string aInstance, std::uint32_t aLinesPerSecond)
  : mDescriptor(aDescriptor)
  , mInstance(std::move(aInstance))
  , mLinesPerSecond(aLinesPerSecond)
{
  const int flags = fcntl(aDescriptor, F_GETFL);
  if (flags >= 0) {
    fcntl(aDescriptor, F_SETFL, flags | O_NONBLOCK);
  }
}

void
EventLog::StartRateWindow(TimePoint aNow)
{
  if (aNow - mRateWindowStart < std::chrono::seconds(1)) {
    return;
  }
  mRateWindowStart = aNow;
  mLinesInWindow = 0;
  if (mDroppedLines > mReportedDroppedLines) {
    const std::uint64_t dropped = mDroppedLines - mReportedDroppedLines;
    mReportedDroppedLines = mDroppedLines;
    Write(LogLevel::Warning,
          "log",
          "lines_dropped",
          { { "count", std::to_string(dropped) } },
          aNow);
  }
}

void
EventLog::Write(LogLevel aLevel,
                std::string_view aSubsystem,
                std::string_view aEvent,
                std::initializer_list<LogField> aFields,
                TimePoint aNow)
{
  StartRateWindow(aNow);
  const std::uint32_t limit =
    aLevel >= LogLevel::Warning ? mLinesPerSecond * kWarningRateFactor : mLinesPerSecond;
  if (mLinesInWindow >= limit || mBuffer.size() >= kMaxBufferedBytes) {
    mDroppedLines++;
    return;
  }
  mLinesInWindow++;
  std::vector<LogField> fields;
  fields.reserve(aFields.size() + 1);
  fields.push_back({ "instance", mInstance });
  fields.insert(fields.end(), aFields.begin(), aFields.end());
  mBuffer +=
    FormatLogLine(std::chrono::system_clock::now(), aLevel, aSubsystem, aEvent, fields);
}

void
EventLog::Flush()
{
  if (mBuffer.empty()) {
    return;
  }
  const ssize_t count = write(mDescriptor, mBuffer.data(), mBuffer.size());
  if (count > 0) {
    mBuffer.erase(0, static_cast<std::size_t>(count));
  } else if (mBuffer.size() >= kMaxBufferedBytes) {
    // The descriptor accepts nothing and the buffer is full. The buffered lines are
    // dropped to make room for new ones.
    mDroppedLines +=
      static_cast<std::uint64_t>(std::count(mBuffer.begin(), mBuffer.end(), '\n'));
    mBuffer.clear();
  }
}

} // namespace papayaspindle
