#include "coordination/configuration/ConfigurationCatchUp.h"

#include <utility>
#include <vector>

namespace lentilsaddle::coordination {

ConfigurationCatchUp::ConfigurationCatchUp(transport::EventLoop& loop, std::chrono::milliseconds grace, Hooks hooks)
    : m_loop(loop)
    , m_grace(grace)
    , m_hooks(std::move(hooks))
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
    m_graceTimer = m_loop.startTimer(m_grace, [this] {
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
    m_hooks.read(
        newest[m_hooks.random() % newest.size()], [this](std::optional<state::Record::ConfigurationSnapshot> snapshot) {
            m_reading = false;
            if (snapshot)
                m_hooks.onSnapshot(std::move(*snapshot));
        });
}

} // namespace lentilsaddle::coordination
