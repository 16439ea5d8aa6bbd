package flintlead.routing.guard;

import flintlead.time.Moment;
import java.util.ArrayList;
import java.util.List;

/**
 * The {@link InvocationGuard}'s record of one invocation: its phase, its deadline and its history
 * for log lines. Only the guard changes the phase.
 */
public final class InvocationRecord {

  /** Maximum number of events kept for an invocation; later ones are only counted. */
  private static final int MAX_EVENTS = 32;

  private record Event(Moment at, String text) {}

  private final String id;
  private final Moment arrivedAt;
  private final Moment deadline;
  private final List<Event> events = new ArrayList<>(4);
  private int droppedEvents;
  private InvocationPhase phase = InvocationPhase.OPEN;

  InvocationRecord(String id, Moment arrivedAt, Moment deadline) {
    this.id = id;
    this.arrivedAt = arrivedAt;
    this.deadline = deadline;
  }

  /** The id of the client's request, or a number given by the gateway. */
  public String id() {
    return id;
  }

  /** The earliest time at which the request may have arrived. */
  public Moment arrivedAt() {
    return arrivedAt;
  }

  /** The earliest time at which the client stops waiting. */
  public Moment deadline() {
    return deadline;
  }

  /** The current phase. */
  public InvocationPhase phase() {
    return phase;
  }

  /** Whether its final answer is still due. */
  public boolean isOpen() {
    return phase == InvocationPhase.OPEN;
  }

  /** Adds an event to its history. */
  public void addEvent(Moment at, String text) {
    if (events.size() < MAX_EVENTS) {
      events.add(new Event(at, text));
    } else {
      droppedEvents++;
    }
  }

  /** Its history as one line, with the milliseconds from its arrival to each event. */
  public String history() {
    StringBuilder line = new StringBuilder();
    for (Event event : events) {
      long millis = event.at.since(arrivedAt).micros() / 1_000;
      line.append(line.length() == 0 ? "" : "; ").append('+').append(millis).append(' ');
      line.append(event.text);
    }
    if (droppedEvents > 0) {
      line.append("; ").append(droppedEvents).append(" more");
    }
    return line.toString();
  }

  /** Changes the phase if the transition is allowed. Returns whether it was. */
  boolean transitionTo(InvocationPhase next) {
    boolean allowed = phase.canTransitionTo(next);
    phase = allowed ? next : phase;
    return allowed;
  }
}
