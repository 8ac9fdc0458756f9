#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "kernel/log_position.h"
#include "kernel/store_revision.h"
#include "kernel/time.h"

namespace poplarmoor {

/// Verified age of a copy that was never verified. It is 0 because a decoder sets fields that an
/// older daemon does not send to 0.
inline constexpr uint64_t kNeverVerified = 0;

/// @param age Highest possible age of a copy; empty: the copy was never verified.
/// @returns The age as a field of a message, in microseconds.
inline uint64_t ToVerifiedAge(std::optional<Duration> age) {
  return age ? static_cast<uint64_t>(std::max(*age, Duration{}).count()) + 1 : kNeverVerified;
}

/// @param now Earliest possible time at which the other daemon's copy had the age.
/// @param age_us Age as ToVerifiedAge() returns it.
/// @returns A time at which the copy was certainly up to date, or nothing.
inline std::optional<TimePoint> VerifiedTime(TimePoint now, uint64_t age_us) {
  // An age beyond the range of Duration would become a negative one, so it counts as unknown.
  constexpr uint64_t kMaxAge = uint64_t{1} << 62U;
  return age_us != kNeverVerified && age_us < kMaxAge
             ? std::optional(now - Duration(static_cast<int64_t>(age_us)))
             : std::nullopt;
}

/// Request by which a daemon asks a gateway to run a statement. `opening` holds the name of an enum
/// value.
struct RelayRequest {
  // Id under which the gateway keeps the connection of a transaction. Chosen by the sender; the
  // same for all statements of one transaction.
  uint64_t lease = 0;
  std::string endpoint;  // Id of the endpoint.
  int rank = 0;
  // Whether the statement belongs to a transaction. The gateway then keeps the connection to the
  // endpoint until the transaction ends.
  bool transaction = false;
  uint64_t session = 0;         // Session id, unique among the sessions of all daemons.
  std::string organisation;     // Organisation of the caller; empty: none.
  uint64_t key = 0;             // Fingerprint of the caller's API key; 0: none.
  uint64_t config_version = 0;  // Configuration by which the sender has accepted the key.
  // Time since the store last confirmed, for certain, that this configuration is the latest one;
  // kNeverVerified: it has not confirmed this.
  uint64_t verified_age_us = kNeverVerified;
  std::map<std::string, std::string> values;
  bool has_prepared = false;
  bool prepared_read_only = true;
  std::string prepared_shape;
  std::string opening;
  // Log position that the endpoint must have reached to run the statement; {0, 0}: none.
  LogPosition demanded;
  std::string id;
  std::string text;
  uint64_t limit_us = 0;  // Time left until the statement's deadline when the request was sent.
  // Clock of the sender's process, a random number, and its time when the request was sent, in
  // microseconds. 0: an older daemon, which does not send them.
  uint64_t clock = 0;
  uint64_t sent_us = 0;
};

/// Answer of a gateway to a RelayRequest. `outcome`, `failure`, `error` and `state` hold names of
/// enum values.
struct RelayAnswer {
  std::string outcome;
  std::string failure;
  std::string cause;
  std::vector<std::string> rows;
  std::string signature;
  std::string error;  // Name of the error; empty on success.
  std::string error_text;
  std::string state;
  LogPosition position;  // Log position in the endpoint's answer; {0, 0}: none.
  // Log position of the primary when the transaction opened; {0, 0}: none.
  LogPosition opening_position;
  LogPosition newest;  // Newest log position of the primary that the gateway knows.
  // Time from the sending of the request whose answer contained `newest` until this answer.
  uint64_t newest_age_us = 0;
  bool connection_failed = false;
};

/// Administrative command that a daemon sends to a gateway, which passes the command on to an
/// endpoint. `order` holds the name of an enum value.
struct RelayOrder {
  std::string endpoint;
  std::string order;
  uint64_t term = 0;
  uint64_t limit_us = 0;
};

/// Answer of a gateway to a RelayOrder.
struct RelayReport {
  std::string failure;  // Why the administrative command failed; empty on success.
  bool is_primary = false;
  uint64_t term = 0;
  LogPosition received;
  uint64_t active_pause_term = 0;
  uint64_t connected_us = 0;  // Age of the gateway's connection to the endpoint.
};

/// Request to a peer for changes to store objects of one kind.
struct SyncRequest {
  std::string kind;
  StoreRevision since;   // Revision up to which the sender knows the objects of this kind.
  uint64_t wait_us = 0;  // Longest time that the peer waits for a change before it answers.
};

/// Store object in a SyncAnswer.
struct SyncObject {
  std::string name;
  StoreRevision revision;
  std::string value;
  bool deleted = false;
};

/// Log position that the primary of a service had.
struct PositionEvidence {
  std::string service;
  LogPosition position;
  // Time since the statement was sent whose answer carried the position; see FreshnessLog.
  uint64_t age_us = 0;
};

/// Answer to a SyncRequest.
struct SyncAnswer {
  bool reachable = false;  // Whether the peer reaches the store, directly or through other peers.
  // Whether `objects` lists all existing objects of the kind; if so, an object that is not listed
  // has been deleted.
  bool complete = false;
  StoreRevision revision;  // Revision up to which the peer knows the objects of this kind.
  // Time since the peer had an answer of the store, directly or through other peers. It tells
  // whether the peer may be cut off from the store, not how old its copy is.
  uint64_t age_us = 0;
  std::vector<SyncObject> objects;
  // Time from the arrival of the request at the peer to this answer. The ages in `evidence` are
  // those at the end of this time.
  uint64_t held_us = 0;
  std::vector<PositionEvidence> evidence;
  // Highest possible age of the peer's copy at this answer: time since a call to the store began
  // whose answer confirmed the copy. kNeverVerified: no answer has confirmed it.
  uint64_t verified_age_us = kNeverVerified;
};

/// Request to an issuer for tokens of an organisation.
struct LimitRequest {
  std::string organisation;
  uint64_t wanted = 0;  // Number of tokens.
};

/// Answer to a LimitRequest.
struct LimitAnswer {
  uint64_t granted = 0;    // Number of tokens.
  bool is_issuer = false;  // Whether the daemon issues tokens of the organisation.
};

/// Announcement of a new daemon that will issue tokens.
struct IssuerJoined {
  std::string daemon;
  std::string address;  // Address of the daemon's peer listener, "IP:port".
  std::string failure_domain;
};

/// Answer to an IssuerJoined: the daemon has added the new one to its list of issuers.
struct IssuerAdded {
  bool may_issue = false;  // Whether the answering daemon itself may issue tokens.
};

/// Encoders and decoders of the messages between peers. The decoders throw CodecError when the body
/// is malformed.
std::string EncodeRelayRequest(const RelayRequest& request);
RelayRequest DecodeRelayRequest(std::string_view body);
std::string EncodeRelayAnswer(const RelayAnswer& answer);
RelayAnswer DecodeRelayAnswer(std::string_view body);
std::string EncodeRelayOrder(const RelayOrder& order);
RelayOrder DecodeRelayOrder(std::string_view body);
std::string EncodeRelayReport(const RelayReport& report);
RelayReport DecodeRelayReport(std::string_view body);
std::string EncodeSyncRequest(const SyncRequest& request);
SyncRequest DecodeSyncRequest(std::string_view body);
std::string EncodeSyncAnswer(const SyncAnswer& answer);
SyncAnswer DecodeSyncAnswer(std::string_view body);
std::string EncodeEvidence(const std::vector<PositionEvidence>& evidence);
std::vector<PositionEvidence> DecodeEvidence(std::string_view body);
std::string EncodeLimitRequest(const LimitRequest& request);
LimitRequest DecodeLimitRequest(std::string_view body);
std::string EncodeLimitAnswer(const LimitAnswer& answer);
LimitAnswer DecodeLimitAnswer(std::string_view body);
std::string EncodeIssuerJoined(const IssuerJoined& joined);
IssuerJoined DecodeIssuerJoined(std::string_view body);
std::string EncodeIssuerAdded(const IssuerAdded& added);
IssuerAdded DecodeIssuerAdded(std::string_view body);

}  // namespace poplarmoor
