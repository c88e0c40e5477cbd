#pragma once

#include "operator.pb.h"

#include <cstdint>

namespace papayaspindle {

/** Changes the configuration and gives the revision in force here. Thread-safe. */
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
   * @param aCreate whether the change creates the group
   */
  virtual v1::ChangeGroupReply Change(const v1::ChangeGroupRequest& aRequest,
                                      bool aCreate) = 0;
  /** Checks a change without committing it. */
  virtual v1::PlanChangeReply Plan(const v1::ChangeGroupRequest& aRequest) = 0;
  /** @return the configuration revision that is in force at this instance */
  [[nodiscard]] virtual std::uint64_t Revision() const = 0;
};

} // namespace papayaspindle
