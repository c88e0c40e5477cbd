#include "controlbench/processusage.h"

#include <malloc.h>
#include <sys/resource.h>
#include <unistd.h>

#include <fstream>

namespace papayaspindle {

namespace {

constexpr double kBytesPerMb = 1024.0 * 1024.0;

double
Seconds(const timeval& aTime)
{
  constexpr double kMicrosecond = 1e-6;
  return static_cast<double>(aTime.tv_sec) +
         static_cast<double>(aTime.tv_usec) * kMicrosecond;
}

} // namespace

double
ProcessCpuSeconds()
{
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  return Seconds(usage.ru_utime) + Seconds(usage.ru_stime);
}

double
ProcessRssMb()
{
  malloc_trim(0);
  std::ifstream statm("/proc/self/statm");
  double total = 0;
  double resident = 0;
  statm >> total >> resident;
  return resident * static_cast<double>(sysconf(_SC_PAGESIZE)) / kBytesPerMb;
}

double
ProcessHeapMb()
{
  const auto info = mallinfo2();
  return static_cast<double>(info.uordblks + info.hblkhd) / kBytesPerMb;
}

} // namespace papayaspindle
