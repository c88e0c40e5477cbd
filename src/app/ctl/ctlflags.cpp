#include "ctl/ctlflags.h"

DEFINE_string(address, "127.0.0.1:7400", "IP:PORT of the entry instance");
DEFINE_int32(timeout_ms, 5000, "how long to wait for the answer");
DEFINE_bool(json, false, "print the answer as one JSON object");
DEFINE_string(tls_authority, "", "authority (PEM) of the instance; none means no TLS");
DEFINE_string(tls_certificate, "", "certificate (PEM) to show to the instance");
DEFINE_string(tls_key, "", "key (PEM) of that certificate");

DEFINE_string(from, "", "file with the group's settings as JSON, as --json prints them");
DEFINE_string(members, "", "all members: NAME=IP:PORT@ZONE, separated by commas");
DEFINE_string(leaving, "keep", "names of all leaving members; empty for no member");
DEFINE_string(staleness, "", "staleness rules: NAME=MILLISECONDS, separated by commas");
DEFINE_int32(slots, 0, "statements that a member runs at once");
DEFINE_int32(connection_limit, 0, "connections of all entry instances to all members");
DEFINE_int64(expected_revision,
             -1,
             "the group's revision; -1 takes the one that the instance shows now");

DEFINE_string(access, "read", "read or write");
DEFINE_string(caller, "ctl", "caller's name for fair queueing");
DEFINE_string(request_id, "", "id of a write or change; a random one when empty");
DEFINE_string(session_token, "", "token of the last answer, in hexadecimal or base64");
DEFINE_string(transaction, "", "id of an open transaction");
DEFINE_int64(max_staleness_ms, 0, "oldest data that a read accepts");
DEFINE_string(staleness_rule, "", "one of the group's staleness rules");
