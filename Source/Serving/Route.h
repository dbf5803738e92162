#pragma once

#include "Core/MonotonicTime.h"
#include "Core/Priority.h"
#include "Core/ServiceName.h"

#include <string>
#include <vector>

namespace almondscale {

// What a request may do more than once.
enum class RouteKind {
    // May run again.
    Safe,
    // Runs at most once.
    Unsafe,
    // Answers with a stream of events; may run again only where the route is resumable.
    Stream,
};

// A part of a route's requests that goes to one service.
struct RouteShare {
    ServiceName service;
    int weight = 0;
};

// A rule of the manifest: requests for a host and a path go to a service.
struct Route {
    std::string name;
    std::string host;
    // Begins and ends with a slash.
    std::string pathPrefix;
    RouteKind kind = RouteKind::Unsafe;
    bool resumable = false;
    // A request gets its final answer within this time.
    Nanoseconds timeout {};
    // An answer, or the first event of a stream, is in time within this.
    Nanoseconds target {};
    // The longest pause between events with which a stream is in time.
    Nanoseconds gapTarget {};
    // 0 is the most urgent.
    Priority priority;
    // Backend servers that one request may run on.
    int maxAttempts = 1;
    std::vector<RouteShare> shares;

    // Whether a request that may have run can be sent again.
    bool repeatable() const { return kind == RouteKind::Safe || (kind == RouteKind::Stream && resumable); }
};

} // namespace almondscale
