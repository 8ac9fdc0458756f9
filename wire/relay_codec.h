#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "kernel/log_position.h"

namespace poplarmoor {

/// Statement that a daemon asks a gateway to run. Names of enum values travel as text.
struct RelayRequest {
  uint64_t lease = 0;    // Chosen by the sender; a transaction's statements share one.
  std::string endpoint;  // Id.
  int rank = 0;
  bool transaction = false;  // The gateway keeps the connection until the transaction ends.
  uint64_t session = 0;      // Unique in the fleet.
  std::map<std::string, std::string> values;
  bool has_prepared = false;
  bool prepared_read_only = true;
  std::string prepared_shape;
  std::string opening;
  LogPosition demanded;
  std::string id;
  std::string text;
  uint64_t limit_us = 0;  // Time left to the statement's deadline.
};

/// A gateway's answer to a RelayRequest.
struct RelayAnswer {
  std::string outcome;
  std::string failure;
  std::string cause;
  std::vector<std::string> rows;
  std::string signature;
  std::string error;  // Empty on success.
  std::string error_text;
  std::string state;
  LogPosition position;   // {0, 0}: none.
  LogPosition opened_at;  // {0, 0}: none.
  LogPosition newest;     // Newest position of the primary that the gateway knows.
  uint64_t newest_age_us = 0;
  bool connection_failed = false;
};

/// Order to an endpoint by way of a gateway.
struct RelayOrder {
  std::string endpoint;
  std::string order;
  uint64_t term = 0;
  uint64_t limit_us = 0;
};

/// A gateway's answer to a RelayOrder.
struct RelayReport {
  std::string failure;  // Empty on success.
  bool is_primary = false;
  uint64_t term = 0;
  LogPosition received;
  uint64_t active_pause_term = 0;
};

/// Question to a peer for changes of one kind of store objects.
struct SyncRequest {
  std::string kind;
  uint64_t since = 0;    // Revision up to which the sender knows the kind.
  uint64_t wait_us = 0;  // Longest wait for a change.
};

/// One object of the store, as a peer knows it.
struct SyncObject {
  std::string name;
  uint64_t revision = 0;
  std::string value;
  bool deleted = false;
};

/// Answer to a SyncRequest.
struct SyncAnswer {
  bool reachable = false;  // Whether the peer reaches the store, itself or by way of others.
  bool complete = false;   // The objects are all of the kind; objects that are missing are gone.
  uint64_t revision = 0;   // Up to which the peer knows the kind.
  std::vector<SyncObject> objects;
};

/// The encodings throw CodecError on malformed input.
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

}  // namespace poplarmoor
