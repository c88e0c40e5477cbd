#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace papayaspindle {

class Tracer;

/** One timed hop. Ends, and is exported, when it is destroyed. Movable, not copyable. */
class Span
{
public:
  Span(Span&& aOther) noexcept;
  Span& operator=(Span&& aOther) noexcept;
  Span(const Span&) = delete;
  Span& operator=(const Span&) = delete;
  ~Span();

  /** @return W3C trace context that names this span as the parent */
  [[nodiscard]] std::string Traceparent() const;
  /** @return time since the span began */
  [[nodiscard]] std::chrono::microseconds Elapsed() const;
  void SetAttribute(std::string_view aKey, std::string_view aValue);
  /** Marks the span as failed. */
  void SetError(std::string_view aMessage);

private:
  friend class Tracer;
  struct Data;
  explicit Span(std::unique_ptr<Data> aData);
  std::unique_ptr<Data> mData;
};

} // namespace papayaspindle
