package flintlead.routing.pool;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The state of a pool at one point in time.
 *
 * @param name the pool's name
 * @param number the pool's id
 * @param listed whether a layout in force contains it; if not, it only completes the invocations
 *     that were assigned to it before
 * @param up whether it has enough ready hosts
 * @param ready number of its ready hosts
 * @param inHand invocations in flight
 * @param guests invocations in flight that other pools spilled to it
 * @param away share of its own functions that it offers to other pools
 * @param guestShare share of other pools' functions that it accepts when they are spilled
 * @param taken invocations assigned to it so far
 * @param succeeded of those, the ones that succeeded within their latency objective
 * @param failed of those, the ones that were throttled, failed, or were late
 * @param came invocations assigned to it that other pools spilled
 * @param went own invocations that were spilled to other pools
 * @param turnedAway own invocations that no pool accepted
 */
public record PoolSnapshot(
    String name,
    int number,
    boolean listed,
    boolean up,
    int ready,
    int inHand,
    int guests,
    double away,
    double guestShare,
    long taken,
    long succeeded,
    long failed,
    long came,
    long went,
    long turnedAway) {

  /** Returns the fields as they are sent to operators. Their names and order must not change. */
  public Map<String, Object> toFields() {
    Map<String, Object> fields = new LinkedHashMap<>();
    fields.put("name", name);
    fields.put("number", number);
    fields.put("listed", listed);
    fields.put("up", up);
    fields.put("ready", ready);
    fields.put("inHand", inHand);
    fields.put("guests", guests);
    fields.put("away", away);
    fields.put("guestShare", guestShare);
    fields.put("taken", taken);
    fields.put("succeeded", succeeded);
    fields.put("failed", failed);
    fields.put("came", came);
    fields.put("went", went);
    fields.put("turnedAway", turnedAway);
    return fields;
  }
}
