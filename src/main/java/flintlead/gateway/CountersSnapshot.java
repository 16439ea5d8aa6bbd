package flintlead.gateway;

import flintlead.scheduling.api.Outcome;
import java.util.Map;

/**
 * A gateway's counters since its start, at one moment.
 *
 * @param accepted invocations accepted
 * @param succeeded accepted invocations whose final response was a success
 * @param throttled accepted invocations whose final response was throttled
 * @param errored accepted invocations whose final response was an error
 * @param rejected throttled without being accepted
 * @param clientDisconnects whose client left before the response
 * @param duplicatesSuppressed second responses that were suppressed: each is a fault
 * @param overdue responses that were given by the last guard: each is a fault
 * @param violations violations of the invocations' invariants: each is a fault
 * @param attempts attempts started
 * @param loadOrders load orders sent to hosts
 * @param pending accepted and without a response yet
 * @param unfinished accepted and not finished: those that have a response and attempts still out
 *     too
 * @param outcomes ended attempts by outcome
 */
public record CountersSnapshot(
    long accepted,
    long succeeded,
    long throttled,
    long errored,
    long rejected,
    long clientDisconnects,
    long duplicatesSuppressed,
    long overdue,
    long violations,
    long attempts,
    long loadOrders,
    int pending,
    int unfinished,
    Map<Outcome, Long> outcomes) {}
