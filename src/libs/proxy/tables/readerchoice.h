#pragma once

#include "proxy/hometable.h"

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace papayaspindle::proxy {

/** Where an instance reads tables of the store. */
struct ReaderChoice
{
  /** The instances are known. */
  bool mIsKnown = false;
  /** It reads for other instances of its zone. */
  bool mIsReader = false;
  /** Readers of its zone, the one that it prefers first; none where it reads the store
   * itself. */
  std::vector<std::string> mReaders;
};

/**
 * Chooses the instances that read the store for their zone.
 *
 * Every instance of a zone that knows the same instances chooses the same readers; one
 * that takes another for a reader which isn't is refused, and reads the store itself.
 *
 * Few instances all read for themselves.
 *
 * @param aInstance the instance that asks
 */
ReaderChoice ChooseReaders(std::string_view aInstance,
                           std::span<const RegisteredInstance> aInstances);

} // namespace papayaspindle::proxy
