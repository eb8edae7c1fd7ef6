#include "kumquatvalve/connection/address_history.h"

#include <algorithm>

namespace kumquatvalve::connection {
namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

bool HasShare(const version::Route* route, const version::RouteShare& share) {
  return route != nullptr &&
         std::any_of(route->shares.begin(), route->shares.end(),
                     [&](const auto& it) { return it.tag == share.tag; });
}

}  // namespace

void AddressHistory::OnRoutes(const version::RouteMap* previous,
                              const version::RouteMap& current, TimePoint now) {
  revision_ = current.revision;
  if (previous == nullptr) {
    known_since_ = now;
    first_revision_ = current.revision;
    for (const Coverage& it : early_coverage_) {
      Extend(it);
    }
    early_coverage_.clear();
    return;
  }
  for (const auto& [address, route] : previous->routes) {
    for (const version::RouteShare& it : route.shares) {
      if (!HasShare(current.Find(address), it)) {
        Add({address, it.service}, now);
      }
    }
  }
}

void AddressHistory::OnReport(const AddressHistoryReport& report,
                              TimePoint now) {
  for (const AddressHistoryReport::Use& it : report.uses) {
    Add({it.address, it.service}, now - it.age);
  }
  const Coverage coverage{report.revision, now - report.span};
  if (known_since_) {
    Extend(coverage);
  } else {
    early_coverage_.push_back(coverage);
  }
}

void AddressHistory::Extend(const Coverage& coverage) {
  if (coverage.revision >= first_revision_) {
    known_since_ = std::min(*known_since_, coverage.since);
  }
}

void AddressHistory::Add(const Use& use, TimePoint used_at) {
  const auto it = uses_.find(use);
  if (it != uses_.end()) {
    it->second = std::max(it->second, used_at);
  } else if (uses_.size() < kMaxUses) {
    uses_.emplace(use, used_at);
  }
}

std::vector<request::ServiceTag> AddressHistory::ServicesOf(
    const request::Endpoint& address) const {
  std::vector<request::ServiceTag> services;
  for (auto it = uses_.lower_bound({address, request::ServiceName()});
       it != uses_.end() && it->first.first == address; ++it) {
    services.push_back(request::ServiceTagOf(it->first.second.text()));
  }
  return services;
}

bool AddressHistory::IsComplete(TimePoint now) const {
  return known_since_ && now - *known_since_ >= kFlowRetention;
}

void AddressHistory::Expire(TimePoint now) {
  std::erase_if(uses_,
                [now](const auto& it) { return now - it.second > kRetention; });
}

AddressHistoryReport AddressHistory::Report(TimePoint now) const {
  AddressHistoryReport report;
  report.revision = revision_;
  if (known_since_) {
    report.span = duration_cast<milliseconds>(now - *known_since_);
  }
  for (const auto& [use, used_at] : uses_) {
    report.uses.push_back(
        {use.first, use.second, duration_cast<milliseconds>(now - used_at)});
  }
  return report;
}

}  // namespace kumquatvalve::connection
