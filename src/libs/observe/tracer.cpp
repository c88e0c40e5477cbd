#include "observe/tracer.h"

#include "observe/randomid.h"
#include "observe/spandata.h"

namespace papayaspindle {

namespace {

constexpr std::size_t kTraceIdBytes = 16;
constexpr std::size_t kSpanIdBytes = 8;

} // namespace

Tracer::Tracer(std::string aInstance, ExportHook aExport, MetricRegistry* aMetrics)
  : mPrivate(std::make_unique<Private>(
      Private{ std::move(aInstance), std::move(aExport), aMetrics }))
{
}

Tracer::~Tracer() = default;

Span
Tracer::Start(std::string_view aName, std::string_view aTraceparent)
{
  auto data = std::make_unique<Span::Data>();
  data->mTracer = mPrivate.get();
  data->mName = aName;
  if (const auto parent = ParseTraceparent(aTraceparent)) {
    data->mContext.mTraceId = parent->mTraceId;
    data->mParentSpanId = parent->mSpanId;
  } else {
    data->mContext.mTraceId = RandomHexId(kTraceIdBytes);
  }
  data->mContext.mSpanId = RandomHexId(kSpanIdBytes);
  data->mStartWall = std::chrono::system_clock::now();
  data->mStart = std::chrono::steady_clock::now();
  return Span(std::move(data));
}

} // namespace papayaspindle
