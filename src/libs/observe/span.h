#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace papayaspindle {

class Tracer;

/** A timed operation within a trace. Its destruction ends and exports it. Movable, not
 * copyable. */
class Span
{
public:
  Span(Span&& aOther) noexcept;
  Span& operator=(Span&& aOther) noexcept;
  Span(const Span&) = delete;
  Span& operator=(const Span&) = delete;
  ~Span();

  /** @return W3C `traceparent` value with this span as the parent */
  [[nodiscard]] std::string Traceparent() const;
  /** @return time since the span began */
  [[nodiscard]] std::chrono::microseconds Elapsed() const;
  /** Adds an attribute to the exported span. */
  void SetAttribute(std::string_view aKey, std::string_view aValue);
  /** Marks the span as failed, with a message. */
  void SetError(std::string_view aMessage);

private:
  friend class Tracer;
  struct Data;
  explicit Span(std::unique_ptr<Data> aData);
  std::unique_ptr<Data> mData;
};

} // namespace papayaspindle
