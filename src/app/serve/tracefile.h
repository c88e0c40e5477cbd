#pragma once

#include <memory>
#include <string>
#include <string_view>

namespace papayaspindle {

/** Appends finished spans to a file, one line each. Thread-safe; its lock is a leaf. */
class TraceFile
{
public:
  explicit TraceFile(const std::string& aPath);
  /** Writes what is buffered. */
  ~TraceFile();

  void Append(std::string_view aLine);

private:
  struct Private;
  std::unique_ptr<Private> mPrivate;
};

} // namespace papayaspindle
