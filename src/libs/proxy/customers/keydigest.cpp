#include "proxy/customers/keydigest.h"

#include <Poco/SHA2Engine.h>

#include <algorithm>

namespace papayaspindle::proxy {

KeyDigest
DigestOf(std::string_view aKey)
{
  Poco::SHA2Engine engine(Poco::SHA2Engine::SHA_256);
  engine.update(aKey.data(), aKey.size());
  const Poco::DigestEngine::Digest& hash = engine.digest();
  KeyDigest digest;
  std::copy_n(hash.begin(), KeyDigest::kBytes, digest.mBytes.begin());
  return digest;
}

std::string
ToBytes(const KeyDigest& aDigest)
{
  return { aDigest.mBytes.begin(), aDigest.mBytes.end() };
}

std::optional<KeyDigest>
DigestFromBytes(std::string_view aBytes)
{
  if (aBytes.size() != KeyDigest::kBytes) {
    return std::nullopt;
  }
  KeyDigest digest;
  std::transform(aBytes.begin(), aBytes.end(), digest.mBytes.begin(), [](char aByte) {
    return static_cast<std::uint8_t>(aByte);
  });
  return digest;
}

} // namespace papayaspindle::proxy
