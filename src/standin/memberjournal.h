#pragma once

#include "standin.pb.h"

#include <fstream>
#include <functional>
#include <string>

namespace papayaspindle::standin {

/**
 * The file in which a backend server keeps its term and its log. Without it a restarted
 * member would come back empty, and a majority could hold less than was acknowledged.
 *
 * A record is written to the operating system before its change is answered; it survives
 * the end of the process, not that of the machine.
 */
class MemberJournal
{
public:
  /** Takes one record; false when it does not continue the ones before. */
  using ReplayHook = std::function<bool(const v1::JournalRecord&)>;

  /**
   * Replays an existing file and opens it for writing. A record that was cut off by the
   * end of the process is dropped: its change was never answered.
   *
   * @return false when the file cannot be opened or a record does not fit
   */
  bool Open(const std::string& aPath, const ReplayHook& aReplay);
  void Write(const v1::JournalRecord& aRecord);

private:
  std::ofstream mFile;
};

} // namespace papayaspindle::standin
