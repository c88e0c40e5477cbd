#include "serve/serverparts.h"

namespace papayaspindle {

namespace {

std::size_t
Count(std::int64_t aSetting)
{
  return static_cast<std::size_t>(aSetting);
}

Tracer::ExportHook
ExportTo(TraceFile* aFile)
{
  if (aFile == nullptr) {
    return {};
  }
  return [aFile](std::string_view aLine) { aFile->Append(aLine); };
}

} // namespace

CommonParts::CommonParts(const Settings& aSettings)
  : mSettings(aSettings)
  , mTraceFile(aSettings.mTraceFile.empty()
                 ? nullptr
                 : std::make_unique<TraceFile>(aSettings.mTraceFile))
  , mTracer(aSettings.mInstanceName, ExportTo(mTraceFile.get()), &mMetrics)
  , mStatementPool("statements",
                   Count(aSettings.mStatementWorkers),
                   Count(aSettings.mStatementQueue))
  , mOperatorPool("operators",
                  Count(aSettings.mControlWorkers),
                  Count(aSettings.mControlQueue))
  , mForwardPool("forwards", Count(aSettings.mPeerWorkers), Count(aSettings.mPeerQueue))
  , mPeerPool("peers", Count(aSettings.mControlWorkers), Count(aSettings.mControlQueue))
  , mTaskPool("tasks", Count(aSettings.mControlWorkers), Count(aSettings.mControlQueue))
  , mConnectionPool("connections",
                    Count(aSettings.mControlWorkers),
                    Count(aSettings.mControlQueue))
{
}

} // namespace papayaspindle
