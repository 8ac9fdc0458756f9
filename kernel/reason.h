#pragma once

#include "kernel/name_table.h"

namespace poplarmoor {

/// Reason why a request has a verdict other than kRan.
enum class Reason {
  kNone,
  kBadRequest,        // A field is missing or invalid.
  kBadToken,          // The session or transaction token is not authentic.
  kUnknownService,    // No configuration unit names this service.
  kDeadlineExceeded,  // The deadline passed before the request ran.
  // The endpoint's queue is full, the predicted wait ends after the request's deadline, or the
  // maximum number of open transactions or of requests in progress is reached.
  kOverloaded,
  kNoPrimary,           // The group has no reachable primary.
  kNoQuorum,            // Too few endpoints are reachable to confirm a write.
  kBehind,              // The endpoint has not replayed the log position that the request requires.
  kStale,               // The endpoint's staleness exceeds the bound of the request.
  kFenced,              // The request's term is lower than the one the endpoint follows.
  kNotPrimary,          // A write reached a replica.
  kNoSlot,              // The endpoint runs as many statements as it has slots.
  kTooManyConnections,  // The endpoint is at its connection limit.
  kConnectFailed,       // No connection to the endpoint or the owner could be opened.
  kConnectionLost,      // The connection broke after the request was sent.
  kTimeout,             // No answer arrived within the time allowed.
  kNotOwner,            // The daemon does not own the endpoint and could not take ownership.
  kLeaving,             // The endpoint is leaving and takes no new work.
  kTransactionGone,     // The transaction does not exist any more.
  // The statement's sequence number is not the next one of its transaction, or another statement of
  // the transaction is still running.
  kOutOfSequence,
  kRequestIdReused,  // The request id was used with another statement.
  kUnconfirmed,      // The write ran at the primary but too few replicas confirmed it.
  kStopping,         // The daemon is stopping.
  kInternal,
};

inline constexpr NameTable<Reason, 25> kReasonNames{{{
    {Reason::kNone, "none"},
    {Reason::kBadRequest, "bad_request"},
    {Reason::kBadToken, "bad_token"},
    {Reason::kUnknownService, "unknown_service"},
    {Reason::kDeadlineExceeded, "deadline_exceeded"},
    {Reason::kOverloaded, "overloaded"},
    {Reason::kNoPrimary, "no_primary"},
    {Reason::kNoQuorum, "no_quorum"},
    {Reason::kBehind, "behind"},
    {Reason::kStale, "stale"},
    {Reason::kFenced, "fenced"},
    {Reason::kNotPrimary, "not_primary"},
    {Reason::kNoSlot, "no_slot"},
    {Reason::kTooManyConnections, "too_many_connections"},
    {Reason::kConnectFailed, "connect_failed"},
    {Reason::kConnectionLost, "connection_lost"},
    {Reason::kTimeout, "timeout"},
    {Reason::kNotOwner, "not_owner"},
    {Reason::kLeaving, "leaving"},
    {Reason::kTransactionGone, "transaction_gone"},
    {Reason::kOutOfSequence, "out_of_sequence"},
    {Reason::kRequestIdReused, "request_id_reused"},
    {Reason::kUnconfirmed, "unconfirmed"},
    {Reason::kStopping, "stopping"},
    {Reason::kInternal, "internal"},
}}};

}  // namespace poplarmoor
