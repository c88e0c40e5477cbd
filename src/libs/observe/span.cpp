#include "observe/span.h"

#include "observe/json.h"
#include "observe/spandata.h"

#include <fmt/format.h>

namespace papayaspindle {

namespace {

std::string
JsonAttribute(std::string_view aKey, std::string_view aValue)
{
  return fmt::format(
    R"({{"key":{},"value":{{"stringValue":{}}}}})", JsonString(aKey), JsonString(aValue));
}

} // namespace

Span::Span(std::unique_ptr<Data> aData)
  : mData(std::move(aData))
{
}

Span::Span(Span&& aOther) noexcept = default;

Span&
Span::operator=(Span&& aOther) noexcept
{
  if (this != &aOther) {
    if (mData) {
      mData->End();
    }
    mData = std::move(aOther.mData);
  }
  return *this;
}

Span::~Span()
{
  if (mData) {
    mData->End();
  }
}

std::string
Span::Traceparent() const
{
  return mData ? FormatTraceparent(mData->mContext) : std::string();
}

std::chrono::microseconds
Span::Elapsed() const
{
  if (!mData) {
    return std::chrono::microseconds(0);
  }
  return std::chrono::duration_cast<std::chrono::microseconds>(
    std::chrono::steady_clock::now() - mData->mStart);
}

void
Span::SetAttribute(std::string_view aKey, std::string_view aValue)
{
  // Attributes are only used by the export, so they are not stored without one.
  if (mData && mData->mTracer->mExport) {
    mData->mAttributes.emplace_back(aKey, aValue);
  }
}

void
Span::SetError(std::string_view aMessage)
{
  if (mData) {
    mData->mHasError = true;
    mData->mErrorMessage = aMessage;
  }
}

void
Span::Data::End() const
{
  const auto duration = std::chrono::steady_clock::now() - mStart;
  if (mTracer->mMetrics != nullptr) {
    const std::chrono::duration<double, std::micro> microseconds = duration;
    mTracer->mMetrics->Record("span." + mName, "us", microseconds.count());
  }
  if (mTracer->mExport) {
    mTracer->mExport(ToJson(duration));
  }
}

std::string
Span::Data::ToJson(std::chrono::nanoseconds aDuration) const
{
  constexpr int kSpanKindInternal = 1;
  constexpr int kStatusOk = 1;
  constexpr int kStatusError = 2;
  const auto start =
    std::chrono::duration_cast<std::chrono::nanoseconds>(mStartWall.time_since_epoch());
  std::string attributes;
  for (const auto& [key, value] : mAttributes) {
    attributes += (attributes.empty() ? "" : ",") + JsonAttribute(key, value);
  }
  const std::string parent = mParentSpanId.empty()
                               ? std::string()
                               : fmt::format(R"("parentSpanId":"{}",)", mParentSpanId);
  const std::string status = mHasError ? fmt::format(R"({{"code":{},"message":{}}})",
                                                     kStatusError,
                                                     JsonString(mErrorMessage))
                                       : fmt::format(R"({{"code":{}}})", kStatusOk);
  const std::string span = fmt::format(
    R"({{"traceId":"{}","spanId":"{}",{}"name":{},"kind":{},"startTimeUnixNano":"{}",)"
    R"("endTimeUnixNano":"{}","attributes":[{}],"status":{}}})",
    mContext.mTraceId,
    mContext.mSpanId,
    parent,
    JsonString(mName),
    kSpanKindInternal,
    start.count(),
    (start + aDuration).count(),
    attributes,
    status);
  return fmt::format(R"({{"resourceSpans":[{{"resource":{{"attributes":[{},{}]}},)"
                     R"("scopeSpans":[{{"scope":{{"name":"papayaspindle"}},)"
                     R"("spans":[{}]}}]}}]}})",
                     JsonAttribute("service.name", "papayaspindle"),
                     JsonAttribute("service.instance.id", mTracer->mInstance),
                     span);
}

} // namespace papayaspindle
