#include "node/request_dispatcher.hpp"

#include <utility>

#include "base/overloaded.hpp"
#include "decide/graceful_shutdown.hpp"
#include "thrift/service.hpp"

namespace gatetiller::node {

RequestDispatcher::RequestDispatcher(const Context& context) : context_(context), requests_(context.loop) {}

// ---- Admission

void RequestDispatcher::on_request(IncomingCall incoming) {
    const ClientId client = incoming.client;
    const std::int32_t sequence = incoming.call.seq;
    const AdmissionContext context{context_.settings.policy,
                                   context_.limits,
                                   context_.shutdown.schedule(),
                                   requests_,
                                   context_.clients.unsent_bytes(client),
                                   context_.clients.unsent_bytes(),
                                   context_.shutdown.draining_for(),
                                   context_.loop.now()};
    auto decision = admit_request(std::move(incoming), context);
    if (auto* const rejected = std::get_if<RejectedRequest>(&decision))
        return reject(client, sequence, std::move(*rejected));
    accept(std::move(std::get<AdmittedRequest>(decision)));
}

void RequestDispatcher::reject(ClientId client, std::int32_t sequence, RejectedRequest rejected) {
    if (context_.deps.trace && !rejected.reason.empty())
        context_.deps.trace("rejected: " + rejected.reason);
    counters_.count(rejected.outcome);
    context_.clients.respond(client, sequence, std::move(rejected.frame));
}

void RequestDispatcher::on_discarded(ClientId client, std::int32_t sequence) {
    reject(client, sequence, reject_at_capacity(sequence, context_.settings.policy));
}

void RequestDispatcher::accept(AdmittedRequest admitted) {
    if (admitted.arrival.estimated_work)
        context_.endpoints.record_work(*admitted.arrival.estimated_work);
    const ActiveRequest& request = requests_.add(std::move(admitted.request));
    if (context_.deps.trace)
        context_.deps.trace(request.name() + " accepted from client " + std::to_string(request.client) +
                            " left_ms=" + std::to_string(admitted.arrival.time_left / kMillisecond));
    admitted.arrival.time_left = context_.deps.faults->time_left_for_policy(admitted.arrival.time_left);
    context_.policy.post(std::move(admitted.arrival));
}

void RequestDispatcher::on_client_cancelled(ClientId client, std::int32_t sequence) {
    ActiveRequest* const request = requests_.extract_by_sequence(client, sequence);
    if (!request || !request->lifecycle.apply(decide::RequestEvent::client_disconnected))
        return;
    request->client_disconnected = true;
    counters_.count(RequestOutcome::client_cancelled);
    if (context_.deps.trace)
        context_.deps.trace(request->name() + " cancelled by client " + std::to_string(client));
    context_.policy.post(ClientDisconnected{request->id});
    if (context_.deps.faults->sends_after_client_disconnected())
        context_.attempts.repeat_first_attempt(*request);
    context_.attempts.on_client_disconnected(*request);
    if (request->lifecycle.releasable())
        schedule_release(*request);
}

// ---- Actions of the policy

void RequestDispatcher::apply(const Action& action) {
    std::visit(Overloaded{[&](const DispatchAttempt& dispatch) {
                              if (ActiveRequest* const request = requests_.find(dispatch.id))
                                  context_.attempts.dispatch(*request, dispatch.engine, dispatch.timeout);
                          },
                          [&](const ResourceGrant& grant) {
                              if (ActiveRequest* const request = requests_.find(grant.id))
                                  context_.attempts.grant(*request, grant);
                          },
                          [&](const ShedRequest& shed) {
                              if (ActiveRequest* const request = requests_.find(shed.id))
                                  respond(*request, rejection_frame(request->sequence, shed.retry_after),
                                          RequestOutcome::shed, shed.reason);
                          },
                          [&](const FailRequest& failure) {
                              if (ActiveRequest* const request = requests_.find(failure.id))
                                  fail(*request, failure.reason);
                          },
                          [&](const CancelAttempt& cancellation) {
                              if (ActiveRequest* const request = requests_.find(cancellation.id))
                                  context_.attempts.cancel(*request, cancellation.attempt);
                          },
                          [&](const CheckHealth& check) {
                              // These engines report their load only in responses, so there is no health
                              // check to send.
                              context_.policy.post(HealthCheckCompleted{
                                  check.engine, 0, AttemptOutcome::not_sent, std::nullopt});
                          },
                          [](const BroadcastToPeers&) {},  // there are no peers: the settings never allow it
                          [](const WatchEndpoints&) {},    // the name service is polled continuously
                          [](const StartTimer&) {}},       // core::PolicyDriver runs the timers
               action);
}

void RequestDispatcher::withdraw_from_unready_engines() {
    const auto waiting = requests_.select([this](ActiveRequest& request) {
        const Attempt* const attempt = request.attempt_in_flight();
        return attempt && context_.endpoints.state(attempt->engine) != EndpointState::ready;
    });
    std::vector<Attempt*> attempts;
    attempts.reserve(waiting.size());
    for (ActiveRequest* const request : waiting)
        attempts.push_back(request->attempt_in_flight());
    for (Attempt* const attempt : attempts)
        context_.attempts.withdraw_unsent(*attempt);
}

// ---- Final responses

void RequestDispatcher::respond_with_result(ActiveRequest& request, const decide::ExchangeResult& result) {
    respond(request, thrift::answer("process", request.sequence, result.rows), RequestOutcome::served);
}

void RequestDispatcher::fail(ActiveRequest& request, std::optional<TerminationReason> reason) {
    respond(request, thrift::crashed(request.sequence, {}), RequestOutcome::failed, reason);
}

void RequestDispatcher::respond(ActiveRequest& request, std::string frame, RequestOutcome outcome,
                                std::optional<TerminationReason> reason) {
    if (!request.lifecycle.apply(decide::RequestEvent::response_ready))
        return;
    request.lifecycle.apply(decide::RequestEvent::response_delivered);
    counters_.count(outcome, reason);
    if (context_.deps.trace)
        trace_response(request, outcome, reason);
    requests_.erase_sequence(request);
    if (!context_.deps.faults->loses_response(request.deadline))
        context_.clients.respond(request.client, request.sequence, std::move(frame));
    if (context_.deps.faults->sends_after_final_response())
        context_.attempts.repeat_first_attempt(request);
    if (request.lifecycle.releasable())
        schedule_release(request);
}

void RequestDispatcher::trace_response(const ActiveRequest& request, RequestOutcome outcome,
                                       std::optional<TerminationReason> reason) const {
    const std::string engine =
        request.attempts.empty() ? "-" : context_.endpoints.name_of(request.attempts.back()->engine);
    context_.deps.trace(
        request.name() + " " + name_of(outcome) + (reason ? std::string(" for ") + name_of(*reason) : "") +
        " at " + engine + " attempts=" + std::to_string(request.attempts.size()) +
        " ms=" + std::to_string((context_.loop.now() - request.arrived_at) / kMillisecond) +
        " left_ms=" + std::to_string((request.deadline - context_.loop.now()) / kMillisecond));
}

void RequestDispatcher::abort_remaining() {
    const auto remaining = requests_.select([](ActiveRequest& request) {
        return !request.lifecycle.finished();
    });
    for (ActiveRequest* const request : remaining) {
        const bool may_have_run = request->first_possible_execution || request->attempt_in_flight();
        const auto response = decide::final_response_at_shutdown(*request->class_settings, may_have_run);
        if (response == decide::FinalResponse::rejected)
            respond(*request, rejection_frame(request->sequence, 0), RequestOutcome::shutting_down);
        else
            fail(*request);
        context_.policy.post(ClientDisconnected{request->id});  // makes the policy cancel attempts in flight
    }
}

}  // namespace gatetiller::node
