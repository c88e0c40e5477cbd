#pragma once

#include "operator.pb.h"

#include <cstdint>

namespace papayaspindle {

/** Operators' changes and the configuration in force here. Thread-safe. */
class Configuration
{
public:
  virtual ~Configuration() = default;

  /**
   * Checks a change and commits it to the table service.
   *
   * Errors in the reply: MalformedRequest, InvalidChange, RevisionConflict,
   * RequestIdConflict, StoreUnavailable, OutcomeUnknown.
   *
   * @param aRequest the change, with expected revision and request id
   * @param aCreate whether the group must not exist yet
   */
  virtual v1::ChangeGroupReply Change(const v1::ChangeGroupRequest& aRequest,
                                      bool aCreate) = 0;
  /** Checks a change without committing it. */
  virtual v1::PlanChangeReply Plan(const v1::ChangeGroupRequest& aRequest) = 0;
  /** @return the highest revision in force here */
  [[nodiscard]] virtual std::uint64_t Revision() const = 0;
};

} // namespace papayaspindle
