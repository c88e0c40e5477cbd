#pragma once

#include "core/timetypes.h"

#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace papayaspindle::experiment {

/**
 * What was attempted and acknowledged for each register, by time. Thread-safe; its lock
 * is a leaf.
 */
class RegisterHistory
{
public:
  /**
   * Takes the next version of a register for one writer.
   *
   * @return the version; nothing while another writer holds the register, or after a
   * write of unknown outcome, which may still run late and would go back a version
   */
  std::optional<std::uint64_t> BeginVersion(const std::string& aRegister);
  /** Ends a write that BeginVersion began and that was acknowledged at a time. */
  void AcknowledgeVersion(const std::string& aRegister,
                          std::uint64_t aVersion,
                          TimePoint aAt);
  /** Ends a write that certainly changed nothing. */
  void AbandonVersion(const std::string& aRegister);
  /** Ends a write that may have run; the register gets no more writes. */
  void Retire(const std::string& aRegister);

  /** Notes an attempt to add a key below a prefix. */
  void AttemptAdd(const std::string& aPrefix);
  /** Notes that one such attempt was acknowledged as having added the key. */
  void AcknowledgeAdd(const std::string& aPrefix, TimePoint aAt);

  /** @return the highest value that was acknowledged at that time or before */
  [[nodiscard]] std::uint64_t AcknowledgedBy(const std::string& aRegister,
                                             TimePoint aAt) const;
  /** @return the highest value that any write so far can have made */
  [[nodiscard]] std::uint64_t Attempted(const std::string& aRegister) const;

private:
  struct Acknowledgement
  {
    TimePoint mAt;
    std::uint64_t mValue = 0;
  };
  struct Register
  {
    std::uint64_t mAttempted = 0;
    std::vector<Acknowledgement> mAcknowledged;
    bool mWriting = false;
    bool mRetired = false;
  };

  mutable std::mutex mMutex;
  std::map<std::string, Register> mRegisters;
};

} // namespace papayaspindle::experiment
