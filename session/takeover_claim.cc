#include "session/takeover_claim.h"

#include <nlohmann/json.hpp>
#include <stdexcept>

namespace poplarmoor {

namespace {

// A fencing token has the number of the revision in its lower bits and the era above them. Both
// together have at most 53 bits: programs that read numbers as doubles keep such tokens exact.
constexpr int kTokenNumberBits = 40;

}  // namespace

uint64_t FencingToken(StoreRevision revision) {
  return (revision.era << kTokenNumberBits) | revision.number;
}

std::string EncodeTakeoverClaim(const TakeoverClaim& claim) {
  nlohmann::json members = nlohmann::json::array();
  for (const TakeoverMember& member : claim.members) {
    members.push_back({{"id", member.id},
                       {"address", member.address},
                       {"failure_domain", member.failure_domain}});
  }
  nlohmann::json ordered = nlohmann::json::array();
  for (const OrderedPromotion& promotion : claim.ordered) {
    ordered.push_back({{"endpoint", promotion.endpoint},
                       {"received_term", promotion.received.term},
                       {"received_index", promotion.received.index},
                       {"term", promotion.term}});
  }
  return nlohmann::json{{"service", claim.service},
                        {"phase", kTakeoverPhaseNames.NameOf(claim.phase)},
                        {"holder", claim.holder},
                        {"nonce", claim.nonce},
                        {"endpoint", claim.endpoint},
                        {"lost_primary", claim.lost_primary},
                        {"members", members},
                        {"ordered", ordered},
                        {"resume_pending", claim.resume_pending}}
      .dump();
}

TakeoverClaim DecodeTakeoverClaim(const std::string& text, StoreRevision revision) {
  try {
    const nlohmann::json body = nlohmann::json::parse(text);
    TakeoverClaim claim;
    claim.service = body.at("service");
    const auto phase = kTakeoverPhaseNames.Find(body.at("phase").get<std::string>());
    if (!phase) {
      throw std::runtime_error("unknown phase " + body.at("phase").dump());
    }
    claim.phase = *phase;
    claim.holder = body.at("holder");
    claim.nonce = body.at("nonce");
    claim.endpoint = body.at("endpoint");
    claim.lost_primary = body.at("lost_primary");
    // Claims of earlier versions have no members.
    for (const nlohmann::json& member : body.value("members", nlohmann::json::array())) {
      claim.members.push_back({member.at("id"), member.at("address"), member.at("failure_domain")});
    }
    for (const nlohmann::json& promotion : body.value("ordered", nlohmann::json::array())) {
      claim.ordered.push_back({promotion.at("endpoint"),
                               {promotion.at("received_term"), promotion.at("received_index")},
                               promotion.at("term")});
    }
    claim.resume_pending = body.value("resume_pending", false);
    claim.revision = revision;
    return claim;
  } catch (const nlohmann::json::exception& error) {
    throw std::runtime_error(std::string("malformed takeover claim: ") + error.what());
  }
}

}  // namespace poplarmoor
