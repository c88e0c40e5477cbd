#include "proxy/customers/sessionaccess.h"

namespace papayaspindle::proxy {

SessionAccess
CheckAccess(const ProxyConfiguration& aConfiguration,
            std::string_view aDatabase,
            const std::optional<KeyDigest>& aKey,
            KeyPolicy aPolicy)
{
  SessionAccess access;
  const CustomerTable& customers = aConfiguration.mCustomers;
  const Customer* customer = aKey ? customers.Find(*aKey) : nullptr;
  if (customer != nullptr) {
    access.mCustomer = customer->mName;
  }
  access.mDecision = CheckCustomerAccess(aConfiguration, aDatabase, customer, aPolicy);
  return access;
}

AccessDecision
CheckCustomerAccess(const ProxyConfiguration& aConfiguration,
                    std::string_view aDatabase,
                    const Customer* aCustomer,
                    KeyPolicy aPolicy)
{
  const auto route = aConfiguration.mRoutes.find(aDatabase);
  if (route == aConfiguration.mRoutes.end()) {
    return AccessDecision::UnknownDatabase;
  }
  const bool areKeysRequired =
    aPolicy == KeyPolicy::Always || !aConfiguration.mCustomers.empty();
  return areKeysRequired && !route->second.mIsPublic && aCustomer == nullptr
           ? AccessDecision::NotAuthorized
           : AccessDecision::Granted;
}

bool
IsKeyWithdrawn(const ProxyConfiguration& aConfiguration,
               const std::optional<KeyDigest>& aKey,
               std::string_view aCustomer,
               std::uint64_t aVersion)
{
  if (aCustomer.empty() || !aKey || aVersion >= aConfiguration.mVersion) {
    return false;
  }
  const Customer* customer = aConfiguration.mCustomers.Find(*aKey);
  return customer == nullptr || customer->mName != aCustomer;
}

} // namespace papayaspindle::proxy
