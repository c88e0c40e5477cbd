#pragma once

namespace papayaspindle {

/** @return processor time that this process has used, in seconds */
double ProcessCpuSeconds();
/** @return resident memory of this process in megabytes, after freed memory was returned
 */
double ProcessRssMb();
/** @return memory that is allocated in this process, in megabytes */
double ProcessHeapMb();

} // namespace papayaspindle
