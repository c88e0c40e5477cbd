#include "standin/memberjournal.h"

#include <google/protobuf/util/delimited_message_util.h>

#include <filesystem>
#include <google/protobuf/io/zero_copy_stream_impl.h>

namespace papayaspindle::standin {

namespace {

/** @return whether every record fits; aEnd is the end of the last whole record */
bool
Replay(const std::string& aPath, const MemberJournal::ReplayHook& aReplay, long& aEnd)
{
  std::ifstream file(aPath, std::ios::binary);
  google::protobuf::io::IstreamInputStream stream(&file);
  v1::JournalRecord record;
  bool isAtEnd = false;
  while (google::protobuf::util::ParseDelimitedFromZeroCopyStream(
    &record, &stream, &isAtEnd)) {
    if (!aReplay(record)) {
      return false;
    }
    aEnd = static_cast<long>(stream.ByteCount());
    record.Clear();
  }
  return true;
}

} // namespace

bool
MemberJournal::Open(const std::string& aPath, const ReplayHook& aReplay)
{
  std::error_code error;
  if (std::filesystem::exists(aPath, error)) {
    long end = 0;
    if (!Replay(aPath, aReplay, end)) {
      return false;
    }
    std::filesystem::resize_file(aPath, static_cast<std::uintmax_t>(end), error);
  }
  mFile.open(aPath, std::ios::binary | std::ios::app);
  return !error && mFile.is_open();
}

void
MemberJournal::Write(const v1::JournalRecord& aRecord)
{
  google::protobuf::util::SerializeDelimitedToOstream(aRecord, &mFile);
  mFile.flush();
}

} // namespace papayaspindle::standin
