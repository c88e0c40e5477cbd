#pragma once

#include <gflags/gflags.h>

DECLARE_string(address);
DECLARE_int32(timeout_ms);
DECLARE_bool(json);
DECLARE_string(tls_authority);
DECLARE_string(tls_certificate);
DECLARE_string(tls_key);

DECLARE_string(from);
DECLARE_string(members);
DECLARE_string(leaving);
DECLARE_string(staleness);
DECLARE_int32(slots);
DECLARE_int32(connection_limit);
DECLARE_int64(expected_revision);

DECLARE_string(access);
DECLARE_string(caller);
DECLARE_string(request_id);
DECLARE_string(session_token);
DECLARE_string(transaction);
DECLARE_int64(max_staleness_ms);
DECLARE_string(staleness_rule);
