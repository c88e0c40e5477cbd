#include "proxy/customers/customertable.h"

namespace papayaspindle::proxy {

void
CustomerTable::Add(const Customer& aCustomer, std::span<const KeyDigest> aKeys)
{
  const bool isNew = mCustomers.emplace(aCustomer.mName, aCustomer).second;
  if (isNew && aCustomer.mLimit) {
    mTotalPerSecond += aCustomer.mLimit->mPerSecond;
  }
  for (const KeyDigest& key : aKeys) {
    mKeys.emplace(key, aCustomer.mName);
  }
}

const Customer*
CustomerTable::Find(const KeyDigest& aKey) const
{
  const auto found = mKeys.find(aKey);
  return found == mKeys.end() ? nullptr : FindByName(found->second);
}

const Customer*
CustomerTable::FindByName(std::string_view aName) const
{
  const auto found = mCustomers.find(aName);
  return found == mCustomers.end() ? nullptr : &found->second;
}

double
CustomerTable::ShareOf(std::string_view aName) const
{
  const Customer* customer = FindByName(aName);
  if (customer == nullptr || !customer->mLimit || mTotalPerSecond <= 0) {
    return 1;
  }
  return customer->mLimit->mPerSecond / mTotalPerSecond;
}

} // namespace papayaspindle::proxy
