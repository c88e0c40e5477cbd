#include "transport/peermessage.h"

#include "common.pb.h"
#include "convert/converterror.h"

#include <Poco/Checksum.h>
#include <fmt/format.h>

namespace papayaspindle {

std::string
BodyCheck(std::int32_t aStream, std::string_view aContext, std::string_view aBody)
{
  Poco::Checksum checksum(Poco::Checksum::TYPE_CRC32);
  checksum.update(fmt::format("{} {} ", aStream, aContext));
  checksum.update(aBody.data(), static_cast<unsigned>(aBody.size()));
  return fmt::format("{}-{:08x}", aBody.size(), checksum.checksum());
}

std::string
ReplyContext(std::string_view aStatus, std::string_view aMethod)
{
  return fmt::format("{} {}", aStatus, aMethod);
}

std::string
EncodeError(const Error& aError)
{
  return ToMessage(aError).SerializeAsString();
}

Error
DecodeError(const std::string& aBody)
{
  v1::ErrorInfo info;
  if (!info.ParseFromString(aBody)) {
    return Error{ ErrorKind::OutcomeUnknown, "the peer's error cannot be read" };
  }
  return FromMessage(info);
}

} // namespace papayaspindle
