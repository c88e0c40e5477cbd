#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <unordered_map>

namespace papayaspindle {

/** Use of accounted memory. */
enum class MemoryUse : std::uint8_t
{
  /** Input of clients that is not processed yet. */
  Input,
  /** Session values and prepared statements. */
  Session,
  /** Statements of sessions that wait or run. */
  Statements,
  /** Answers that clients have not read. */
  Answers,
  /** Buffers of links between instances, and statements of other instances' clients. */
  Links,
  /** Buffers of connections to members, and parts of their answers. */
  Members,
  /** Buffers of all other streams. */
  Other,
};

/** Number of values of MemoryUse. */
constexpr std::size_t kMemoryUses = 7;

/** Bytes that an instance holds on behalf of clients, members and other instances. */
class MemoryAccount
{
public:
  /** Identifier of a holder: the key of a stream or of a forwarded session. */
  using Holder = std::uint64_t;

  /** @param aLimit bytes above which the memory counts as short */
  explicit MemoryAccount(std::size_t aLimit);

  void SetLimit(std::size_t aLimit) { mLimit = aLimit; }
  /** Replaces the number of bytes that a holder occupies for a use. */
  void Set(Holder aHolder, MemoryUse aUse, std::size_t aBytes);
  /** Removes a holder with all its bytes. */
  void Remove(Holder aHolder);

  [[nodiscard]] std::size_t Limit() const { return mLimit; }
  /** @return bytes of all holders */
  [[nodiscard]] std::size_t Total() const { return mTotal; }
  /** @return bytes of all holders for one use */
  [[nodiscard]] std::size_t Total(MemoryUse aUse) const;
  /** @return bytes of one holder */
  [[nodiscard]] std::size_t HeldBy(Holder aHolder) const;
  [[nodiscard]] bool IsShort() const { return mTotal > mLimit; }
  /** @return whether further bytes stay within the limit */
  [[nodiscard]] bool HasRoomFor(std::size_t aBytes) const
  {
    return mTotal <= mLimit && aBytes <= mLimit - mTotal;
  }
  /**
   * @param aMayClose whether a holder may be chosen
   * @return the holder of the most bytes among those that may be chosen
   */
  [[nodiscard]] std::optional<Holder> Largest(
    const std::function<bool(Holder)>& aMayClose) const;

private:
  using Uses = std::array<std::size_t, kMemoryUses>;

  std::size_t mLimit;
  std::size_t mTotal = 0;
  Uses mTotalByUse{};
  /** Holders with at least one byte. */
  std::unordered_map<Holder, Uses> mHolders;
};

} // namespace papayaspindle
