#pragma once

#include "core/ids.h"

#include <chrono>
#include <cstdint>
#include <string>

namespace papayaspindle::experiment {

/** How a register's value is read from an answer. */
enum class RegisterKind : std::uint8_t
{
  /** "key#version" in the only row; 0 without a row. */
  Version,
  /** A number in the only row: how many keys have a prefix. */
  Count,
};

/**
 * One request that a session makes.
 *
 * Each request reads or writes one register: a key whose versions only rise, or a prefix
 * whose number of keys only rises.
 */
struct Operation
{
  /** For results, for example "payment". */
  std::string mName;
  GroupId mGroup;
  std::string mStatement;
  bool mWrite = false;
  RegisterKind mKind = RegisterKind::Version;
  std::string mRegister;
  /** Version that a write writes. */
  std::uint64_t mVersion = 0;
  /** Age of data that a read accepts. */
  std::chrono::milliseconds mMaxStaleness{};
};

} // namespace papayaspindle::experiment
