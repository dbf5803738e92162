#pragma once

#include "Serving/BackendTable.h"

#include <utility>

namespace almondscale {

// Adds load to a server for the lifetime of the object.
class ScopedLoad {
public:
    ScopedLoad(BackendTable& backends, BackendId id, BackendLoad load)
        : m_backends(backends)
        , m_id(std::move(id))
        , m_load(load)
    {
        m_backends.open(m_id, m_load);
    }
    ~ScopedLoad() { m_backends.close(m_id, m_load); }
    ScopedLoad(const ScopedLoad&) = delete;
    ScopedLoad& operator=(const ScopedLoad&) = delete;

private:
    BackendTable& m_backends;
    BackendId m_id;
    BackendLoad m_load;
};

} // namespace almondscale
