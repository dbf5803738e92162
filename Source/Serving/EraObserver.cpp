#include "Serving/EraObserver.h"

#include <utility>

namespace almondscale {

void EraObserver::note(StoreEra era)
{
    if (std::exchange(m_known, true) && era <= m_era)
        return;
    const auto before = std::exchange(m_era, era);
    if (onEra)
        onEra(before);
}

} // namespace almondscale
