#pragma once

#include "observe/metricregistry.h"
#include "observe/span.h"
#include "observe/tracecontext.h"
#include "observe/tracer.h"

#include <chrono>
#include <string>
#include <utility>
#include <vector>

namespace papayaspindle {

/** Data that all spans of a tracer share. */
struct Tracer::Private
{
  std::string mInstance;
  ExportHook mExport;
  MetricRegistry* mMetrics = nullptr;
};

/** Data of a span until its end. */
struct Span::Data
{
  Tracer::Private* mTracer = nullptr;
  std::string mName;
  TraceContext mContext;
  /** Empty for the first span of a trace. */
  std::string mParentSpanId;
  std::chrono::system_clock::time_point mStartWall;
  std::chrono::steady_clock::time_point mStart;
  std::vector<std::pair<std::string, std::string>> mAttributes;
  bool mHasError = false;
  std::string mErrorMessage;

  /** Records the duration and exports the span. */
  void End() const;

private:
  /** @return the span as one OTLP/JSON line, without its line end */
  [[nodiscard]] std::string ToJson(std::chrono::nanoseconds aDuration) const;
};

} // namespace papayaspindle
