#include "serve/tracefile.h"

#include <fstream>
#include <mutex>

namespace papayaspindle {

struct TraceFile::Private
{
  std::mutex mMutex;
  std::ofstream mFile;
};

TraceFile::TraceFile(const std::string& aPath)
  : mPrivate(std::make_unique<Private>())
{
  mPrivate->mFile.open(aPath, std::ios::app);
}

TraceFile::~TraceFile() = default;

void
TraceFile::Append(std::string_view aLine)
{
  const std::lock_guard lock(mPrivate->mMutex);
  mPrivate->mFile << aLine << '\n';
}

} // namespace papayaspindle
