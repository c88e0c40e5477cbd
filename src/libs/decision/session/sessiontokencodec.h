#pragma once

#include "decision/session/sessiontoken.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace papayaspindle {

/** Why a token was not accepted or could not be made. */
enum class TokenFault : std::uint8_t
{
  /** Shorter than the shortest token. */
  Truncated,
  /** Longer than the longest token. */
  Oversized,
  /** Of a format that this version does not know. */
  UnknownVersion,
  /** The checksum fits none of the keys: damaged or forged. */
  BadChecksum,
  /** The checksum fits, but the content breaks the format. */
  Malformed,
  /** More groups than a token may hold. */
  TooManyGroups,
};

/** @return one sentence for callers */
std::string_view Describe(TokenFault aFault);

/** Keys and bounds of session tokens. */
struct SessionTokenSettings
{
  /** HMAC keys: the first signs, all verify, so that keys can be rotated. At least one.
   */
  std::vector<std::string> mKeys;
  std::size_t mMaxGroups = 64;
};

/**
 * Encodes session tokens with a keyed checksum (HMAC-SHA256).
 *
 * Format, integers big-endian: version (1 byte), number of groups (2 bytes), for each
 * group in rising order: length of the name (2 bytes), name, term (8 bytes), index (8
 * bytes); checksum over all of that (32 bytes).
 */
class SessionTokenCodec
{
public:
  using DecodeResult = std::variant<SessionToken, TokenFault>;
  using EncodeResult = std::variant<std::string, TokenFault>;

  /** @param aSettings throws std::invalid_argument without a key or with an empty one */
  explicit SessionTokenCodec(SessionTokenSettings aSettings);

  /** @return the bytes for the caller; empty for a token without positions */
  [[nodiscard]] EncodeResult Encode(const SessionToken& aToken) const;
  /** @return the token, or why it is refused; no bytes mean a new session */
  [[nodiscard]] DecodeResult Decode(std::string_view aBytes) const;
  /**
   * A write whose position does not fit must be refused before it runs, because dropping
   * another group's position would break read-your-writes there.
   *
   * @return whether the token can also hold a position of the group
   */
  [[nodiscard]] bool HasRoomFor(const SessionToken& aToken, const GroupId& aGroup) const;

private:
  [[nodiscard]] bool HasValidChecksum(std::string_view aBody,
                                      std::string_view aChecksum) const;

  SessionTokenSettings mSettings;
};

} // namespace papayaspindle
