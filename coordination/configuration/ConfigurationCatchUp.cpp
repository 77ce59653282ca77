#include "coordination/configuration/ConfigurationCatchUp.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace lentilsaddle::coordination {

ConfigurationCatchUp::ConfigurationCatchUp(transport::EventLoop& loop, const Options& options, Hooks hooks)
    : m_loop(loop)
    , m_options(options)
    , m_hooks(std::move(hooks))
    , m_readTimeout(options.readTimeout)
{
}

ConfigurationCatchUp::~ConfigurationCatchUp()
{
    m_loop.cancelTimer(m_graceTimer);
}

void ConfigurationCatchUp::compare(
    const Membership& membership, std::optional<state::ConfigurationVersion> own, bool logReachable)
{
    if (!own) {
        // The highest version is known only after all peers have responded or failed.
        if (membership.allTried())
            read(membership);
        return;
    }
    if (membership.highestConfigurationVersion() <= *own)
        return;
    bool graceExpired = m_graceExpired && m_versionAtGraceStart == *own;
    if (!logReachable || graceExpired) {
        m_graceExpired = false;
        read(membership);
        return;
    }
    if (m_graceTimer != 0)
        return;
    m_versionAtGraceStart = *own;
    m_graceExpired = false;
    m_graceTimer = m_loop.startTimer(m_options.grace, [this] {
        m_graceTimer = 0;
        m_graceExpired = true;
        m_hooks.onGraceExpired();
    });
}

void ConfigurationCatchUp::read(const Membership& membership)
{
    std::vector<state::InstanceInfo> newest = membership.newestConfigurations();
    if (m_reading || newest.empty())
        return;
    m_reading = true;
    m_hooks.read(newest[m_hooks.random() % newest.size()], m_readTimeout,
        [this](std::optional<state::Record::ConfigurationSnapshot> snapshot) {
            m_reading = false;
            m_readTimeout
                = snapshot ? m_options.readTimeout : std::min(m_readTimeout * 2, m_options.maximumReadTimeout);
            if (snapshot)
                m_hooks.onSnapshot(std::move(*snapshot));
        });
}

} // namespace lentilsaddle::coordination
