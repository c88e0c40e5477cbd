#pragma once

#include "observe/span.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace papayaspindle {

class MetricRegistry;

/** Starts spans and exports them as OTLP/JSON lines. Thread-safe. */
class Tracer
{
public:
  /** Receives one OTLP/JSON line, without its line end. */
  using ExportHook = std::function<void(std::string_view)>;

  /**
   * @param aInstance name of this instance, exported as the resource of all spans
   * @param aExport receives finished spans; may be empty
   * @param aMetrics records each span's duration in microseconds in the histogram
   * "span.<name>"; may be null
   */
  Tracer(std::string aInstance, ExportHook aExport, MetricRegistry* aMetrics);
  ~Tracer();

  /**
   * Starts a span, whose duration is recorded when it ends.
   *
   * @param aName name of the operation, for example "peer_forward"; docs/design.md
   * section 4.9 lists all names
   * @param aTraceparent `traceparent` value of the parent span; an empty or malformed one
   * starts a new trace
   */
  [[nodiscard]] Span Start(std::string_view aName, std::string_view aTraceparent);

private:
  friend class Span;
  struct Private;
  std::unique_ptr<Private> mPrivate;
};

} // namespace papayaspindle
