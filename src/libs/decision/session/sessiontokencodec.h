#pragma once

#include "decision/session/sessiontoken.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace papayaspindle {

/** Why a token could not be decoded or encoded. */
enum class TokenFault : std::uint8_t
{
  /** Shorter than the shortest token. */
  Truncated,
  /** Longer than the longest token. */
  Oversized,
  /** The format version is unknown. */
  UnknownVersion,
  /** The checksum matches none of the keys; the token is damaged or forged. */
  BadChecksum,
  /** The checksum is valid, but the content violates the format. */
  Malformed,
  /** The token has more groups than allowed. */
  TooManyGroups,
};

/** @return the error message for callers */
std::string_view Describe(TokenFault aFault);

/** Keys and limits of session tokens. */
struct SessionTokenSettings
{
  /** HMAC keys, at least one. The first key signs; all keys verify, so that keys can be
   * rotated. */
  std::vector<std::string> mKeys;
  /** Maximum number of groups in a token. */
  std::size_t mMaxGroups = 64;
};

/**
 * Encodes session tokens with a keyed checksum (HMAC-SHA256).
 *
 * Format, with big-endian integers: version (1 byte), number of groups (2 bytes), then
 * for each group in ascending order of names: length of the name (2 bytes), name, term (8
 * bytes), index (8 bytes); finally the checksum of all preceding bytes (32 bytes).
 */
class SessionTokenCodec
{
public:
  using DecodeResult = std::variant<SessionToken, TokenFault>;
  using EncodeResult = std::variant<std::string, TokenFault>;

  /** @throws std::invalid_argument if aSettings contains no key or an empty key */
  explicit SessionTokenCodec(SessionTokenSettings aSettings);

  /** @return the encoded token, empty for a token without positions; or the fault */
  [[nodiscard]] EncodeResult Encode(const SessionToken& aToken) const;
  /** @return the token, without positions if aBytes is empty; or the fault */
  [[nodiscard]] DecodeResult Decode(std::string_view aBytes) const;
  /**
   * A write must be refused before it runs if the token cannot store its position.
   * Dropping the position of another group instead would break read-your-writes for that
   * group.
   *
   * @return whether the token can store a position of the group
   */
  [[nodiscard]] bool HasRoomFor(const SessionToken& aToken, const GroupId& aGroup) const;

private:
  [[nodiscard]] bool HasValidChecksum(std::string_view aBody,
                                      std::string_view aChecksum) const;

  SessionTokenSettings mSettings;
};

} // namespace papayaspindle
