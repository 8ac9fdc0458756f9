#pragma once

#include <utility>

#include <boost/asio/awaitable.hpp>
#include <memory>
#include <string>

#include "kernel/commit_check.h"
#include "kernel/time.h"

namespace poplarmoor {

class Cluster;
class EndpointPool;
class ServiceGroup;

/// Shows for commits that no takeover can lose them, before they are acknowledged to callers: asks
/// the recorded members of a group how much of the log they have received. See JudgeCommit().
class CommitVerifier {
 public:
  /// @param cluster Must outlive this object.
  explicit CommitVerifier(Cluster* cluster) : cluster(cluster) {}

  /// Waits until the commit is safe or cannot be shown to be.
  /// @param group Service of the commit; must outlive the call.
  /// @param primary Endpoint that has acknowledged the commit.
  /// @param position End of the primary's log when it acknowledged the commit.
  /// @param limit Longest time that the call may take.
  /// @returns kSafe if the commit may be acknowledged; otherwise it is in doubt.
  boost::asio::awaitable<CommitVerdict> Verify(ServiceGroup* group,
                                               std::string primary,
                                               LogPosition position,
                                               Duration limit);

 private:
  // Starts to ask one member that is not busy or, if this was not enough, all members.
  void AskMembers(ServiceGroup* group, const CommitView& view, Duration elapsed);
  // Goes on asking the members after a commit was not confirmed. Until the commit is confirmed,
  // further writes are refused instead of ending in doubt.
  void Reconfirm(ServiceGroup* group, std::string primary, LogPosition position);
  // Starts to ask one member for its status. The waiting commits are notified of the answer.
  static void AskMember(ServiceGroup* group, std::shared_ptr<EndpointPool> pool);
  CommitView MakeView(const ServiceGroup& group, const std::string& primary, LogPosition position);

  Cluster* cluster;
};

}  // namespace poplarmoor
