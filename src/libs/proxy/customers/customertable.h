#pragma once

#include "proxy/customers/customer.h"
#include "proxy/customers/keydigest.h"

#include <cstdint>
#include <functional>
#include <map>
#include <span>
#include <string>
#include <string_view>

namespace papayaspindle::proxy {

/** Customers of one version of the configuration, by name and by key. */
class CustomerTable
{
public:
  /** Adds a customer with its keys; a key that is already known stays with the customer
   * that was added first. */
  void Add(const Customer& aCustomer, std::span<const KeyDigest> aKeys);

  /** @return the customer that holds the key, or null */
  [[nodiscard]] const Customer* Find(const KeyDigest& aKey) const;
  /** @return the customer of that name, or null */
  [[nodiscard]] const Customer* FindByName(std::string_view aName) const;
  /** @return the customer's part of the rate limits of all customers, from 0 to 1; 1 if
   * the customer has no limit */
  [[nodiscard]] double ShareOf(std::string_view aName) const;
  [[nodiscard]] bool empty() const { return mCustomers.empty(); }
  [[nodiscard]] std::size_t size() const { return mCustomers.size(); }
  /** @return number of keys of all customers */
  [[nodiscard]] std::size_t KeyCount() const { return mKeys.size(); }

private:
  std::map<std::string, Customer, std::less<>> mCustomers;
  /** Names of customers by key. */
  std::map<KeyDigest, std::string> mKeys;
  double mTotalPerSecond = 0;
};

} // namespace papayaspindle::proxy
