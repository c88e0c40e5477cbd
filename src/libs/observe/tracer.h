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
   * @param aInstance name of this instance, the resource of all spans
   * @param aExport receives finished spans; may be empty
   * @param aMetrics gets a duration in microseconds for each span, under "span.<name>";
   * may be null
   */
  Tracer(std::string aInstance, ExportHook aExport, MetricRegistry* aMetrics);
  ~Tracer();

  /**
   * Begins a span; the histogram of its name gets its duration when it ends.
   *
   * @param aName one of the names in docs/design.md section 4.9, for example
   * "peer_forward"
   * @param aTraceparent parent context; a new trace when empty or malformed
   */
  [[nodiscard]] Span Start(std::string_view aName, std::string_view aTraceparent);

private:
  friend class Span;
  struct Private;
  std::unique_ptr<Private> mPrivate;
};

} // namespace papayaspindle
