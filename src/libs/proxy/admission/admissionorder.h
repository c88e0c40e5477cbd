#pragma once

#include "proxy/admission/admissioninput.h"
#include "proxy/admission/admissionplan.h"
#include "proxy/admission/customerrounds.h"

#include <string_view>

namespace papayaspindle::proxy {

/**
 * Decides which waiting statement of a database group is sent next and which are refused,
 * at one home of the group whose connections bear the names of customers.
 *
 * The order is: statements that can still meet their latency objective, priority of the
 * route, rounds over the customers, usual time, arrival. Statements for the primary and
 * reads have separate rounds, because they wait for different members.
 */
class AdmissionOrder
{
public:
  /** Called at each arrival and each answer. */
  AdmissionPlan Plan(const AdmissionInput& aInput);
  /** Charges the customer for a statement that was sent to a member. */
  void OnStarted(std::string_view aCustomer, bool aNeedsPrimary, TimePoint aNow);

  /** @return number of customers whose state is kept, for each kind of members */
  [[nodiscard]] std::size_t StateCount() const
  {
    return mPrimaryRounds.size() + mReadRounds.size();
  }

private:
  CustomerRounds mPrimaryRounds;
  CustomerRounds mReadRounds;
};

} // namespace papayaspindle::proxy
