#pragma once

#include <string>
#include <vector>

#include "kernel/config_message.h"
#include "kernel/failure_detector.h"
#include "kernel/gossip_message.h"

namespace poplarmoor {

/// Endpoint that a `suspect` or `observe` message refers to. A `promote` message refers only to a
/// service, so the other fields are empty.
struct EndpointReference {
  std::string service;
  std::string endpoint;
  std::string address;  // "IP:port"; set only in `observe` messages.
};

/// Packs the body of a `gossip` message or of its answer.
/// @param messages Gossip messages for one daemon, any number; the body contains all of them.
/// @returns One msgpack map.
std::string PackGossip(const std::vector<GossipMessage>& messages);

/// @throws CodecError when the body is malformed.
std::vector<GossipMessage> UnpackGossip(const std::string& body);

/// Packs the body of a `config_push` or `config_fetch` message or of its answer.
/// @param messages Configuration messages for one daemon, any number; the body contains all of
///     them.
/// @returns One msgpack map.
std::string PackConfig(const std::vector<ConfigMessage>& messages);

/// @throws CodecError when the body is malformed.
std::vector<ConfigMessage> UnpackConfig(const std::string& body);

/// Packs the body of a `suspect`, `observe` or `promote` message.
std::string PackEndpointReference(const EndpointReference& reference);

/// @throws CodecError when the body is malformed.
EndpointReference UnpackEndpointReference(const std::string& body);

/// Packs the body of the answer to an `observe` message.
std::string PackProbeOutcome(ProbeOutcome outcome);

/// @throws CodecError when the body is malformed.
ProbeOutcome UnpackProbeOutcome(const std::string& body);

}  // namespace poplarmoor
