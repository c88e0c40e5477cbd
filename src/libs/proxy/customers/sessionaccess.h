#pragma once

#include "proxy/customers/keydigest.h"
#include "proxy/proxyconfiguration.h"

#include <optional>
#include <string>
#include <string_view>

namespace papayaspindle::proxy {

/** Whether a session may run statements on its database. */
enum class AccessDecision : std::uint8_t
{
  Granted,
  UnknownDatabase,
  /** The route requires a key, and the session's key belongs to no customer. */
  NotAuthorized,
};

/** Decision on a session, and the customer in whose name it runs. */
struct SessionAccess
{
  AccessDecision mDecision = AccessDecision::Granted;
  /** Name of the customer; empty if the key belongs to none. */
  std::string mCustomer;
};

/** Whether clients need the key of a customer. */
enum class KeyPolicy : std::uint8_t
{
  /** Only if the configuration has customers. */
  IfCustomersExist,
  Always,
};

/**
 * @param aKey digest of the key that the client sent; nothing if it sent none
 * @return whether the client may use the database under the given configuration
 */
SessionAccess CheckAccess(const ProxyConfiguration& aConfiguration,
                          std::string_view aDatabase,
                          const std::optional<KeyDigest>& aKey,
                          KeyPolicy aPolicy);

/**
 * @param aCustomer customer of the client; null if its key belongs to none
 * @return whether the client may use the database under the given configuration
 */
AccessDecision CheckCustomerAccess(const ProxyConfiguration& aConfiguration,
                                   std::string_view aDatabase,
                                   const Customer* aCustomer,
                                   KeyPolicy aPolicy);

/**
 * Checks at a home instance whether a forwarded statement's key was withdrawn by a
 * version that its entry instance had not seen.
 *
 * A home with an older version than the entry instance relies on the entry instance, so
 * that it doesn't refuse a new key.
 *
 * @param aConfiguration configuration of the home
 * @param aVersion version on which the entry instance decided
 */
bool IsKeyWithdrawn(const ProxyConfiguration& aConfiguration,
                    const std::optional<KeyDigest>& aKey,
                    std::string_view aCustomer,
                    std::uint64_t aVersion);

} // namespace papayaspindle::proxy
