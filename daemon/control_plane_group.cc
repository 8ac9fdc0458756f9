#include <utility>

#include <boost/asio.hpp>
#include <chrono>
#include <functional>

#include "config/units.h"
#include "daemon/control_plane.h"
#include "net/now.h"
#include "net/platform_client.h"
#include "telemetry/log.h"
#include "wire/control_codec.h"

// The probe and promotion functions of ControlPlane.

namespace poplarmoor {

namespace asio = boost::asio;

namespace {

// Time limit of a periodic probe. The failure detector counts the probe as missed after a shorter
// time. An answer after that time, but within this limit, shows that the endpoint is slow, not
// dead.
constexpr Duration kProbeTimeout = 2000ms;

// Time limit of a `fence`, `promote` or `follow` call to an endpoint. Failover retries these calls.
constexpr Duration kControlTimeout = 400ms;

}  // namespace

// --- Probes -------------------------------------------------------------------------------------

void ControlPlane::Perform(const std::string& service, const DetectorAction& action) {
  const std::optional<GroupState> group = this->control.FindGroup(service);
  std::string address;
  if (group) {
    for (const EndpointInfo& endpoint : group->endpoints) {
      address = endpoint.name == action.endpoint ? endpoint.address : address;
    }
  }
  if (address.empty()) {
    return;
  }
  switch (action.kind) {
    case DetectorActionKind::kProbe:
    case DetectorActionKind::kProbeFresh:
      this->Spawn([service, action, address](ControlPlane* self) {
        return self->Probe(service, action.endpoint, address,
                           action.kind == DetectorActionKind::kProbeFresh);
      });
      break;
    case DetectorActionKind::kAskObserver:
      this->Spawn([service, action, address](ControlPlane* self) {
        return self->AskObserver(service, action.endpoint, address, action.attempt);
      });
      break;
    case DetectorActionKind::kReplacePrimary:
      this->OnGroup(service, [&](GroupControl& control) {
        const bool started = control.failover.Start(action.cause, Now());
        Log(LogLevel::kWarn,
            started ? "promotion starts"
                    : "primary must be replaced, but no promotion can start now",
            {{"service", service},
             {"primary", action.endpoint},
             {"cause", kFailoverCauseNames.NameOf(action.cause)}});
      });
      break;
  }
}

asio::awaitable<void> ControlPlane::Probe(std::string service,
                                          std::string endpoint,
                                          std::string address,
                                          bool fresh) {
  const Duration timeout = fresh ? FailureDetectorOptions().confirm_timeout : kProbeTimeout;
  const ProbeResult result = co_await this->endpoints.Probe(address, fresh, timeout);
  this->OnGroup(service, [&](GroupControl& group) {
    const TimePoint now = Now();
    if (result.status) {
      group.detector.OnStatus(*result.status, now);
      group.failover.OnStatus(*result.status, now);
    }
    if (fresh) {
      group.detector.OnFreshProbe(endpoint, result.outcome, now);
    } else {
      group.detector.OnProbeFailed(endpoint, result.outcome, now);
    }
  });
}

asio::awaitable<void> ControlPlane::AskObserver(std::string service,
                                                std::string endpoint,
                                                std::string address,
                                                size_t attempt) {
  const std::vector<PeerInfo> observers = this->control.ObserversOf(service);
  std::optional<ProbeOutcome> outcome;
  if (observers.empty()) {
    // This daemon is the only live one, so no other can confirm the endpoint's failure: probe the
    // endpoint again from here.
    const ProbeResult own = co_await this->endpoints.Probe(
        address, /*fresh=*/true, FailureDetectorOptions().confirm_timeout);
    outcome = own.outcome;
  } else {
    try {
      PeerMessage request("observe", PackEndpointReference({service, endpoint, address}));
      const PeerMessage answer =
          co_await this->peers->Call(observers[attempt % observers.size()].address,
                                     std::move(request), std::chrono::milliseconds(1500));
      outcome = UnpackProbeOutcome(answer.body);
    } catch (const std::exception& error) {
      Log(LogLevel::kInfo,
          "daemon that was asked to confirm an endpoint failure did not answer; asking the next",
          {{"service", service}, {"endpoint", endpoint}, {"error", error.what()}});
    }
  }
  this->OnGroup(service, [&](GroupControl& group) {
    group.detector.OnObservation(endpoint, outcome, Now());
  });
}

// --- Promotions ---------------------------------------------------------------------------------

void ControlPlane::Perform(const std::string& service, const FailoverAction& action) {
  // `follow` calls are logged at debug level, because they are sent repeatedly to the replicas of a
  // group that has no log entries yet.
  const bool frequent = action.kind == FailoverActionKind::kFollow;
  Log(frequent ? LogLevel::kDebug : LogLevel::kInfo, "performing a failover step",
      {{"service", service},
       {"action", kFailoverActionKindNames.NameOf(action.kind)},
       {"endpoint", action.endpoint.name},
       {"term", action.term == 0 ? action.group.term : action.term}});
  switch (action.kind) {
    case FailoverActionKind::kUpdate:
      this->Spawn(
          [service, action](ControlPlane* self) { return self->WriteGroup(service, action); });
      break;
    case FailoverActionKind::kRead:
      this->Spawn([service, call = action.call](ControlPlane* self) {
        return self->ReadGroup(service, call);
      });
      break;
    case FailoverActionKind::kFence:
    case FailoverActionKind::kPromote:
    case FailoverActionKind::kFollow:
      this->Spawn(
          [service, action](ControlPlane* self) { return self->CallEndpoint(service, action); });
      break;
    case FailoverActionKind::kAnnounce:
      this->Announce(action.group);
      break;
  }
}

void ControlPlane::Announce(const GroupState& group) {
  const ConfigUnit unit{UnitKind::kGroup, group.service, group.version, 0, FormatGroup(group)};
  this->Perform(this->control.Publish({unit}, Now()));
}

asio::awaitable<void> ControlPlane::WriteGroup(std::string service, FailoverAction action) {
  UpdateOutcome outcome = UpdateOutcome::kNotSent;
  GroupState current = action.group;
  if (this->control.TakePlatformCall(/*urgent=*/true, Now())) {
    try {
      const PlatformObject stored = co_await this->platform->Put(
          "group", service, FormatGroup(action.group), action.group.version);
      current.version = stored.version;
      outcome = UpdateOutcome::kApplied;
      this->control.OnPlatformAnswer(true, Now());
    } catch (const PlatformError& error) {
      const bool conflict = error.failure == PlatformFailure::kConflict;
      this->control.OnPlatformAnswer(conflict, Now());
      if (conflict) {
        current = ParseGroup(error.current.value, error.current.version);
        current.service = service;
        outcome = UpdateOutcome::kConflict;
      } else {
        outcome = error.may_have_taken_effect ? UpdateOutcome::kUnknown : UpdateOutcome::kNotSent;
      }
      Log(LogLevel::kWarn, "update of the group on the platform failed",
          {{"service", service}, {"term", action.group.term}, {"error", error.what()}});
    }
  }
  this->OnGroup(service, [&](GroupControl& group) {
    group.failover.OnUpdate(action.call, outcome, current, Now());
  });
}

asio::awaitable<void> ControlPlane::ReadGroup(std::string service, uint64_t call) {
  std::optional<GroupState> current;
  if (this->control.TakePlatformCall(/*urgent=*/true, Now())) {
    try {
      const std::optional<PlatformObject> object = co_await this->platform->Get("group", service);
      this->control.OnPlatformAnswer(true, Now());
      if (object) {
        current = ParseGroup(object->value, object->version);
        current->service = service;
      }
    } catch (const PlatformError&) {
      this->control.OnPlatformAnswer(false, Now());
    }
  }
  this->OnGroup(service, [&](GroupControl& group) { group.failover.OnRead(call, current, Now()); });
  if (current) {
    this->Announce(*current);
  }
}

asio::awaitable<void> ControlPlane::CallEndpoint(std::string service, FailoverAction action) {
  const std::optional<EndpointAnswer> answer =
      co_await this->endpoints.Perform(action, kControlTimeout);
  if (!answer) {
    co_return;
  }
  if (answer->status != AnswerStatus::kOk) {
    Log(LogLevel::kWarn, "endpoint refused a failover step",
        {{"service", service},
         {"endpoint", action.endpoint.name},
         {"action", kFailoverActionKindNames.NameOf(action.kind)},
         {"reason", answer->reason_text}});
  }
  this->OnGroup(service, [&](GroupControl& group) {
    const TimePoint now = Now();
    group.detector.OnStatus(answer->endpoint, now);
    if (action.kind == FailoverActionKind::kFence) {
      group.failover.OnFence(action.endpoint.name, action.term, answer->granted,
                             answer->endpoint.last, now);
    } else {
      group.failover.OnStatus(answer->endpoint, now);
    }
  });
}

}  // namespace poplarmoor
