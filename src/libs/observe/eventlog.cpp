#include "observe/eventlog.h"

#include "observe/logline.h"

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <vector>

namespace papayaspindle {

namespace {

// Failures are what the log is for: they may exceed the rate of the rest by this factor.
constexpr std::uint32_t kFailureShare = 4;
constexpr std::size_t kMaxBuffered = 1U << 18U;

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
EventLog::StartSecond(TimePoint aNow)
{
  if (aNow - mSecondStart < std::chrono::seconds(1)) {
    return;
  }
  mSecondStart = aNow;
  mLinesThisSecond = 0;
  if (mDropped > mReportedDropped) {
    const std::uint64_t dropped = mDropped - mReportedDropped;
    mReportedDropped = mDropped;
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
  StartSecond(aNow);
  const std::uint32_t most =
    aLevel >= LogLevel::Warning ? mLinesPerSecond * kFailureShare : mLinesPerSecond;
  if (mLinesThisSecond >= most || mBuffer.size() >= kMaxBuffered) {
    mDropped++;
    return;
  }
  mLinesThisSecond++;
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
  } else if (mBuffer.size() >= kMaxBuffered) {
    // Nobody reads: the oldest lines make room.
    mDropped +=
      static_cast<std::uint64_t>(std::count(mBuffer.begin(), mBuffer.end(), '\n'));
    mBuffer.clear();
  }
}

} // namespace papayaspindle
