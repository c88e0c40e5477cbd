#pragma once

#include <array>
#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace papayaspindle::proxy {

/**
 * Digest of a client's key: the first bytes of its SHA-256 hash.
 *
 * Only the digest is stored and sent to other instances, so that a dump of memory or of a
 * message reveals no key.
 */
struct KeyDigest
{
  static constexpr std::size_t kBytes = 16;

  std::array<std::uint8_t, kBytes> mBytes{};

  auto operator<=>(const KeyDigest&) const = default;
};

/** @return digest of the key that a client sent */
KeyDigest DigestOf(std::string_view aKey);

/** @return the digest's bytes for a message to another instance */
std::string ToBytes(const KeyDigest& aDigest);

/** @return the digest, or nothing if the number of bytes is wrong */
std::optional<KeyDigest> DigestFromBytes(std::string_view aBytes);

} // namespace papayaspindle::proxy
