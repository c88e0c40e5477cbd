#pragma once

#include "proxy/hometable.h"

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace papayaspindle::proxy {

/** The source from which an instance reads tables of the store. A reader is an instance
 * that reads the store and relays the tables to other instances of its zone. */
struct ReaderChoice
{
  /** The list of instances is known. */
  bool mIsKnown = false;
  /** The instance is a reader of its zone. */
  bool mIsReader = false;
  /** Readers of the instance's zone, the preferred one first; empty if the instance reads
   * the store itself. */
  std::vector<std::string> mReaders;
  /** Instances to query while neither a reader nor the store answers this instance, the
   * preferred one first. They read the tables from the store. */
  std::vector<std::string> mSubstitutes;
};

/**
 * Chooses the readers for an instance.
 *
 * All instances of a zone that have the same list of instances choose the same readers.
 * An instance that isn't a reader refuses requests, and the sender reads the store
 * itself. A small number of instances or an instance that isn't listed needs no readers.
 * Substitutes come from all zones, because the store may reject single instances or be
 * unreachable from one zone.
 *
 * @param aInstance name of the instance for which readers are chosen
 * @param aInstances all registered instances
 */
ReaderChoice ChooseReaders(std::string_view aInstance,
                           std::span<const RegisteredInstance> aInstances);

} // namespace papayaspindle::proxy
