#include "services/BackendLog.h"

#include <array>

namespace Coltsfootwell {

namespace {

/// \return the duration as a whole number of units.
template <typename Unit>
std::string formatCount(Duration duration)
{
    return std::to_string(std::chrono::duration_cast<Unit>(duration).count());
}

} // namespace

std::string_view backendStateName(BackendState state)
{
    constexpr std::array<std::string_view, 5> Names {"absent", "cold", "warm", "draining", "gone"};
    return Names[static_cast<std::size_t>(state)];
}

std::string_view registrationChangeName(RegistrationChange change)
{
    constexpr std::array<std::string_view, 4> Names {"renewed", "replaced", "leaving", "outdated"};
    return Names[static_cast<std::size_t>(change)];
}

std::string loadLogFields(const LoadReport &load)
{
    return " inUse=" + std::to_string(load.inUse) + " waiting=" + std::to_string(load.waiting)
        + " limit=" + std::to_string(load.limit) + " slowness="
        + std::to_string(load.slownessPercent) + " failures=" + std::to_string(load.failurePercent)
        + " state=" + std::string(backendStateName(load.state));
}

std::string leavingLogField(const BackendRegistration &registration, TimePoint now)
{
    const auto since = registration.leavingSince();
    return since ? " leavingMs=" + formatCount<std::chrono::milliseconds>(now - *since) : "";
}

std::string exchangeLogFields(const ExchangeOutcome &outcome, TimePoint now)
{
    if (!outcome.sentAt) {
        return " connection=none";
    }
    std::string fields = outcome.reusedConnection ? " connection=kept" : " connection=new";
    fields += " sinceSentUs=" + formatCount<std::chrono::microseconds>(now - *outcome.sentAt)
        + " discardedAnswers=" + std::to_string(outcome.discardedAnswers);
    if (outcome.kind == ExchangeOutcome::Kind::Answered) {
        fields += " serverStatus=" + std::to_string(outcome.status)
            + " namesRequest=" + (outcome.envelope.requestId.empty() ? "no" : "yes");
    }
    return fields;
}

LogEvent heartbeatEvent(const BackendHeartbeat &heartbeat, RegistrationChange change)
{
    return {"backend.heartbeat", "",
            "instance=" + heartbeat.instance + " service=" + heartbeat.service
                + " startMs=" + std::to_string(heartbeat.processStartMs)
                + " sequence=" + std::to_string(heartbeat.sequence)
                + " state=" + (heartbeat.state == AnnouncedState::Ready ? "ready" : "draining")
                + " slots=" + std::to_string(heartbeat.slots)
                + " coldMs=" + std::to_string(heartbeat.coldRemaining.count())
                + " change=" + std::string(registrationChangeName(change))};
}

LogEvent deregistrationEvent(std::string_view instance,
                             const std::optional<BackendHeartbeat> &current,
                             RegistrationChange change)
{
    std::string known = "none";
    if (current) {
        known = current->instance + " startMs=" + std::to_string(current->processStartMs)
            + " sequence=" + std::to_string(current->sequence);
    }
    return {"backend.left", "",
            "instance=" + std::string(instance)
                + " change=" + std::string(registrationChangeName(change)) + " known=" + known};
}

void sendLoadGauges(const Address<TelemetryMessage> &telemetry, const std::string &service,
                    const LoadReport &load)
{
    telemetry.send(SetGauge {"backend_slots_in_use", service, double(load.inUse)});
    telemetry.send(SetGauge {"backend_calls_waiting", service, double(load.waiting)});
    telemetry.send(SetGauge {"backend_limit", service, double(load.limit)});
    telemetry.send(SetGauge {"backend_slowness_percent", service, double(load.slownessPercent)});
    telemetry.send(SetGauge {"backend_failure_percent", service, double(load.failurePercent)});
}

} // namespace Coltsfootwell
