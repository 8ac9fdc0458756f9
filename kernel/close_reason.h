#pragma once

#include "kernel/name_table.h"

namespace poplarmoor {

/// Reasons for which a daemon closes a client's connection although the daemon is not stopping.
enum class CloseReason {
  kTooLarge,      // A message exceeds the size limit.
  kBufferBudget,  // The daemon buffers too many bytes for all its clients together.
  kReadTimeout,   // A message was not complete within its time limit.
  kWriteTimeout,  // The client did not take an answer within the time limit.
  kTooManyConnections,
  kBadHandshake,  // A connection to the port for other daemons did not prove to be one of them.
};

/// Names of the reasons in logs and metrics.
inline constexpr NameTable<CloseReason, 6> kCloseReasonNames{{{
    {CloseReason::kTooLarge, "too_large"},
    {CloseReason::kBufferBudget, "buffer_budget"},
    {CloseReason::kReadTimeout, "read_timeout"},
    {CloseReason::kWriteTimeout, "write_timeout"},
    {CloseReason::kTooManyConnections, "too_many_connections"},
    {CloseReason::kBadHandshake, "bad_handshake"},
}}};

}  // namespace poplarmoor
