#include "kernel/config_spread.h"

#include <utility>

namespace poplarmoor {

namespace {

// Approximate bytes that a unit or a version takes in a message, besides its name and content.
constexpr size_t kUnitOverheadBytes = 40;

}  // namespace

ConfigSpread::ConfigSpread(std::string daemon,
                           std::string address,
                           ConfigSpreadOptions options,
                           ConfigStore* store)
    : daemon(std::move(daemon)), address(std::move(address)), options(options), store(store) {}

std::vector<ConfigEnvelope> ConfigSpread::TakeOutgoing() {
  return std::exchange(this->outgoing, {});
}

ConfigMessage ConfigSpread::MakeMessage(ConfigMessageKind kind) const {
  ConfigMessage message;
  message.kind = kind;
  message.sender = this->daemon;
  message.sender_address = this->address;
  return message;
}

void ConfigSpread::Send(const std::string& to, const std::string& address, ConfigMessage message) {
  this->outgoing.push_back({to, address, std::move(message)});
}

std::vector<ConfigUnit> ConfigSpread::Publish(const std::vector<ConfigUnit>& units,
                                              const std::vector<Member>& peers) {
  std::vector<ConfigUnit> accepted;
  for (const ConfigUnit& unit : units) {
    if (this->store->Put(unit)) {
      accepted.push_back(unit);
    }
  }
  this->Forward(accepted, peers, "");
  return accepted;
}

void ConfigSpread::Forward(const std::vector<ConfigUnit>& units,
                           const std::vector<Member>& peers,
                           const std::string& except) {
  size_t bytes = 0;
  for (const ConfigUnit& unit : units) {
    bytes += unit.name.size() + unit.content.size() + kUnitOverheadBytes;
  }
  if (units.empty() || bytes > this->options.max_bytes) {
    // The units are too large for one message, as in an initial load from the platform. They are
    // not pushed; repair messages send them in parts.
    return;
  }
  size_t sent = 0;
  for (const Member& peer : peers) {
    if (peer.daemon == except || sent == this->options.fanout) {
      continue;
    }
    ConfigMessage message = this->MakeMessage(ConfigMessageKind::kPush);
    message.fresh = true;
    message.units = units;
    this->Send(peer.daemon, peer.address, std::move(message));
    ++sent;
  }
}

void ConfigSpread::RepairIfDifferent(const Member& peer, uint64_t hash, TimePoint now) {
  if (hash == this->store->Hash() || now < this->next_repair) {
    return;
  }
  this->next_repair = now + this->options.repair_interval;
  this->SendSummary(peer.daemon, peer.address);
}

void ConfigSpread::SendSummary(const std::string& to, const std::string& to_address) {
  ConfigMessage message = this->MakeMessage(ConfigMessageKind::kSummary);
  message.bucket_hashes = this->store->BucketHashes();
  this->Send(to, to_address, std::move(message));
}

std::vector<ConfigUnit> ConfigSpread::Receive(const ConfigMessage& message,
                                              const std::vector<Member>& peers) {
  std::vector<ConfigUnit> accepted;
  switch (message.kind) {
    case ConfigMessageKind::kPush:
      for (const ConfigUnit& unit : message.units) {
        if (this->store->Put(unit)) {
          accepted.push_back(unit);
        }
      }
      if (message.fresh) {
        this->Forward(accepted, peers, message.sender);
      }
      if (message.more && !accepted.empty()) {
        this->SendSummary(message.sender, message.sender_address);
      }
      break;
    case ConfigMessageKind::kSummary:
      this->AnswerSummary(message);
      break;
    case ConfigMessageKind::kVersions:
      this->AnswerVersions(message);
      break;
    case ConfigMessageKind::kFetch:
      this->Send(message.sender, message.sender_address, this->PackUnits(message.versions));
      break;
  }
  return accepted;
}

void ConfigSpread::AnswerSummary(const ConfigMessage& message) {
  ConfigMessage answer = this->MakeMessage(ConfigMessageKind::kVersions);
  size_t bytes = 0;
  for (const uint32_t bucket : this->store->DifferingBuckets(message.bucket_hashes)) {
    if (bytes > this->options.max_bytes) {
      answer.more = true;
      break;
    }
    answer.buckets.push_back(bucket);
    for (UnitVersion& version : this->store->VersionsIn(bucket)) {
      bytes += version.name.size() + kUnitOverheadBytes;
      answer.versions.push_back(std::move(version));
    }
  }
  if (!answer.buckets.empty()) {
    this->Send(message.sender, message.sender_address, std::move(answer));
  }
}

void ConfigSpread::AnswerVersions(const ConfigMessage& message) {
  std::vector<UnitVersion> missing_there;
  std::vector<UnitVersion> missing_here;
  this->store->Compare(message.buckets, message.versions, &missing_there, &missing_here);
  if (!missing_there.empty()) {
    this->Send(message.sender, message.sender_address, this->PackUnits(missing_there));
  }
  if (!missing_here.empty()) {
    ConfigMessage fetch = this->MakeMessage(ConfigMessageKind::kFetch);
    fetch.versions = std::move(missing_here);
    this->Send(message.sender, message.sender_address, std::move(fetch));
  }
}

ConfigMessage ConfigSpread::PackUnits(const std::vector<UnitVersion>& versions) const {
  ConfigMessage push = this->MakeMessage(ConfigMessageKind::kPush);
  size_t bytes = 0;
  for (const UnitVersion& wanted : versions) {
    const ConfigUnit* unit = this->store->Find(wanted.kind, wanted.name);
    if (unit == nullptr) {
      continue;
    }
    const size_t size = unit->name.size() + unit->content.size() + kUnitOverheadBytes;
    if (!push.units.empty() && bytes + size > this->options.max_bytes) {
      push.more = true;
      break;
    }
    bytes += size;
    push.units.push_back(*unit);
  }
  return push;
}

}  // namespace poplarmoor
