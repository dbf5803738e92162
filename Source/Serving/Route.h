#pragma once

#include "Core/MonotonicTime.h"
#include "Core/Priority.h"
#include "Core/ServiceName.h"

#include <string>
#include <vector>

namespace almondscale {

// Whether and how a request of a route may be repeated.
enum class RouteKind {
    // May be executed again.
    Safe,
    // Executed at most once.
    Unsafe,
    // Responds with a stream of events; may be executed again only if the route is resumable.
    Stream,
};

// A weighted target of a route.
struct RouteShare {
    ServiceName service;
    int weight = 0;
};

// A rule of the manifest that sends requests for a host and a path prefix to services.
struct Route {
    std::string name;
    std::string host;
    // Begins and ends with a slash.
    std::string pathPrefix;
    RouteKind kind = RouteKind::Unsafe;
    bool resumable = false;
    // Time within which a request gets its final response.
    Nanoseconds timeout {};
    // Target time for a response, or for the first event of a stream.
    Nanoseconds target {};
    // Target for the longest pause between the events of a stream.
    Nanoseconds gapTarget {};
    // 0 is the most urgent.
    Priority priority;
    // Maximum number of backend servers that one request is sent to.
    int maxAttempts = 1;
    std::vector<RouteShare> shares;
    // Callers need no key.
    bool allowAnonymous = false;

    // Whether a request that may have been executed can be sent again.
    bool repeatable() const { return kind == RouteKind::Safe || (kind == RouteKind::Stream && resumable); }
};

} // namespace almondscale
