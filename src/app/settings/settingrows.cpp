#include "settings/settingrow.h"

#include <array>

namespace papayaspindle {

namespace {

using S = Settings;
using Type = SettingType;
using Text = std::string Settings::*;

constexpr std::int64_t kMinute = 60'000;
constexpr std::int64_t kMebibyte = std::int64_t(1024) * 1024;
constexpr bool kSecret = true;

constexpr SettingRow
Required(std::string_view aSection,
         std::string_view aKey,
         Type aType,
         Text aField,
         std::string_view aExample,
         std::string_view aExplanation)
{
  return { aSection, aKey, aType, aField, true, aExample, 0, 0, "", aExplanation, false };
}

constexpr SettingRow
Optional(std::string_view aSection,
         std::string_view aKey,
         Type aType,
         Text aField,
         std::string_view aExplanation,
         bool aSecret = false)
{
  return { aSection, aKey, aType, aField, false, "", 0, 0, "", aExplanation, aSecret };
}

constexpr SettingRow
Choice(std::string_view aSection,
       std::string_view aKey,
       Text aField,
       std::string_view aDefault,
       std::string_view aChoices,
       std::string_view aExplanation)
{
  return { aSection, aKey, Type::Choice, aField,       false, aDefault,
           0,        0,    aChoices,     aExplanation, false };
}

constexpr SettingRow
Number(std::string_view aSection,
       std::string_view aKey,
       std::int64_t Settings::*aField,
       std::string_view aDefault,
       std::int64_t aMin,
       std::int64_t aMax,
       std::string_view aExplanation)
{
  return { aSection, aKey, Type::Integer, aField, false, aDefault, aMin,
           aMax,     "",   aExplanation,  false };
}

constexpr SettingRow
Time(std::string_view aSection,
     std::string_view aKey,
     std::chrono::milliseconds Settings::*aField,
     std::string_view aDefault,
     std::int64_t aMin,
     std::int64_t aMax,
     std::string_view aExplanation)
{
  return { aSection, aKey, Type::Milliseconds, aField, false, aDefault, aMin,
           aMax,     "",   aExplanation,       false };
}

// clang-format off
constexpr std::array kRows{
  Required("instance", "name", Type::Text, &S::mInstanceName, "entry-1",
    "Name of this instance, unique among all entry instances of the system."),
  Required("instance", "availability_zone", Type::Text, &S::mAvailabilityZone, "zone-1",
    "Availability zone of this instance, as the platform and the groups' members name it."),

  Required("listen", "callers", Type::Address, &S::mListenCallers, "127.0.0.1:7400",
    "Address for callers (gRPC), and for operators unless listen.operators is set."),
  Optional("listen", "operators", Type::Address, &S::mListenOperators,
    "Address of a listener of their own for operators; empty shares the callers' listener."),
  Required("listen", "peers", Type::Address, &S::mListenPeers, "127.0.0.1:7500",
    "Address for streams from other entry instances; they reach this instance under it."),

  Required("platform", "tables", Type::Address, &S::mPlatformTables, "127.0.0.1:7100",
    "Address of the platform's table service."),
  Required("platform", "objects", Type::Address, &S::mPlatformObjects, "127.0.0.1:7101",
    "Address of the platform's object store."),
  Required("platform", "instances", Type::Address, &S::mPlatformInstances, "127.0.0.1:7102",
    "Address of the platform's instance list."),
  Time("platform", "timeout_ms", &S::mPlatformTimeout, "1000", 10, kMinute,
    "How long a call to the platform may take."),

  Optional("session", "token_key_file", Type::InputFile, &S::mTokenKeyFile,
    "File with the keys of session tokens: one key a line, in hexadecimal, 16 to 64 bytes. "
    "The first key signs, all of them verify. All instances share the keys. "
    "Either this key or session.token_keys is required."),
  Optional("session", "token_keys", Type::Keys, &S::mTokenKeysInline,
    "The same keys in place, separated by commas.", kSecret),

  Number("workers", "statements", &S::mStatementWorkers, "64", 1, 1024,
    "Threads that serve callers' statements."),
  Number("workers", "control", &S::mControlWorkers, "8", 1, 256,
    "Threads that serve operators and polls; statements never use them."),
  Number("workers", "peers", &S::mPeerWorkers, "64", 1, 1024,
    "Threads that serve requests of other entry instances."),
  Number("workers", "statement_queue", &S::mStatementQueue, "1024", 1, 1'000'000,
    "Statements that may wait for a thread; more are refused as overloaded (not run)."),
  Number("workers", "control_queue", &S::mControlQueue, "256", 1, 1'000'000,
    "Operators' calls that may wait for a thread; more are refused as overloaded."),
  Number("workers", "peer_queue", &S::mPeerQueue, "1024", 1, 1'000'000,
    "Peers' requests that may wait for a thread; more are refused."),
  Number("workers", "connection_queue", &S::mConnectionQueue, "256", 4, 1'000'000,
    "Requests that may wait for a connection of one group; a quarter is kept for writes."),

  Number("limits", "statement_bytes", &S::mStatementBytes, "1048576", 1, 64 * kMebibyte,
    "Largest statement."),
  Number("limits", "answer_bytes", &S::mAnswerBytes, "4194304", 1024, 256 * kMebibyte,
    "Largest answer of a backend server."),
  Time("limits", "default_timeout_ms", &S::mDefaultTimeout, "5000", 10, 10 * kMinute,
    "Deadline of calls that state none."),

  Choice("reads", "policy", &S::mReadPolicy, "bounded_wait",
    "primary|primary_after_write|immediate_fallback|bounded_wait",
    "Where reads go. primary: all to the primary; primary_after_write: a session that wrote "
    "reads from the primary; immediate_fallback: a replica that is not known to be caught up "
    "is passed over; bounded_wait: one that is about to catch up is waited for."),
  Time("reads", "default_staleness_ms", &S::mDefaultStaleness, "0", 0, 60 * kMinute,
    "Age of data that a read accepts when it states none; 0 sends such reads to the primary."),
  Time("reads", "replica_wait_ms", &S::mReplicaWait, "20", 0, 10'000,
    "How long a read waits for a replica that is a little behind."),

  Time("monitor", "interval_ms", &S::mMonitorInterval, "250", 10, kMinute,
    "Pause between two polls of a member."),
  Time("monitor", "status_timeout_ms", &S::mStatusTimeout, "500", 10, kMinute,
    "How long a poll may take."),
  Time("monitor", "suspect_after_ms", &S::mSuspectAfter, "1000", 600, kMinute,
    "Silence after which a primary is suspect; a pause of 500 ms must not cause a failover."),
  Time("monitor", "refused_after_ms", &S::mRefusedAfter, "300", 50, kMinute,
    "The same when the member's host refuses connections."),

  Time("failover", "rank_delay_ms", &S::mRankDelay, "500", 50, kMinute,
    "Added to the thresholds for each rank below the keeper, so that homes act in turn."),
  Time("failover", "call_timeout_ms", &S::mFailoverCallTimeout, "300", 10, kMinute,
    "How long each step's call to a member may take."),
  Time("failover", "backoff_min_ms", &S::mBackoffMin, "50", 1, kMinute,
    "Shortest pause after a conflict with another keeper."),
  Time("failover", "backoff_max_ms", &S::mBackoffMax, "300", 1, kMinute,
    "Longest pause after a conflict with another keeper."),

  Time("membership", "probe_interval_ms", &S::mProbeInterval, "1000", 10, kMinute,
    "Pause between two probes of a random instance of the zone."),
  Time("membership", "probe_timeout_ms", &S::mProbeTimeout, "300", 10, kMinute,
    "How long a probe may take before indirect probes start."),
  Time("membership", "suspicion_ms", &S::mSuspicion, "2000", 100, 10 * kMinute,
    "Time in which a suspect instance can refute that it is dead."),
  Number("membership", "indirect_probes", &S::mIndirectProbes, "3", 0, 16,
    "Instances that are asked to probe one that did not answer."),
  Time("membership", "list_interval_ms", &S::mListInterval, "1000", 100, 10 * kMinute,
    "Pause between two reads of the platform's instance list."),
  Time("membership", "pause_ms", &S::mPauseThreshold, "1000", 100, kMinute,
    "Gap between two ticks after which this instance may not act as keeper until a peer answers."),

  Time("configuration", "interval_ms", &S::mConfigurationInterval, "1000", 50, 5000,
    "Pause between a delegate's reads of the change log."),
  Number("configuration", "snapshot_every", &S::mSnapshotEvery, "1000", 10, 1'000'000,
    "Changes between two snapshots in the object store."),

  Time("allowance", "interval_ms", &S::mAllowanceInterval, "1000", 100, 1500,
    "Pause between two renewals of leases, which last 3 s, and of the keeper's records."),

  Choice("log", "level", &S::mLogLevel, "info", "debug|info|warning|error",
    "Lowest level that is written to standard error."),
  Optional("log", "levels", Type::LogLevels, &S::mLogLevels,
    "Levels of single subsystems, for example failover=debug,membership=warning."),
  Optional("log", "trace_file", Type::OutputFile, &S::mTraceFile,
    "File that finished spans are appended to as OTLP/JSON lines; empty for none."),

  Optional("tls", "caller_certificate", Type::InputFile, &S::mCallerCertificate,
    "Certificate chain (PEM) of the callers' listener; empty for no TLS."),
  Optional("tls", "caller_key", Type::InputFile, &S::mCallerKey,
    "Private key (PEM) of the callers' listener."),
  Optional("tls", "caller_authority", Type::InputFile, &S::mCallerAuthority,
    "Authority (PEM) whose certificates callers must show; empty asks for none."),
  Optional("tls", "operator_certificate", Type::InputFile, &S::mOperatorCertificate,
    "Certificate chain (PEM) of the operators' listener; needs listen.operators."),
  Optional("tls", "operator_key", Type::InputFile, &S::mOperatorKey,
    "Private key (PEM) of the operators' listener."),
  Optional("tls", "operator_authority", Type::InputFile, &S::mOperatorAuthority,
    "Authority (PEM) whose certificates operators must show; empty asks for none."),
  Optional("tls", "peer_certificate", Type::InputFile, &S::mPeerCertificate,
    "Certificate (PEM) shown to peers, by both sides; empty for no TLS between instances."),
  Optional("tls", "peer_key", Type::InputFile, &S::mPeerKey,
    "Private key (PEM) for peers."),
  Optional("tls", "peer_authority", Type::InputFile, &S::mPeerAuthority,
    "Authority (PEM) that peers' certificates must come from."),

  Time("drain", "announce_ms", &S::mDrainAnnounce, "3000", 0, kMinute,
    "Until peers and the balancer know of the leave; new work is still served."),
  Time("drain", "deadline_ms", &S::mDrainDeadline, "30000", 0, 60 * kMinute,
    "How long a shutdown waits for requests in flight; it exits with status 1 when it gives up."),
};
// clang-format on

} // namespace

std::span<const SettingRow>
SettingRows()
{
  return kRows;
}

} // namespace papayaspindle
