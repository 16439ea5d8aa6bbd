package flintlead.scheduling.lease;

import flintlead.time.Moment;
import flintlead.time.Span;

/**
 * Determines how long the host list renews the leases of all its hosts. The time runs from when the
 * list was last known to be complete, because a gateway cannot know when discovery became
 * unreachable.
 */
final class ListLease {

  private final LeaseTerms terms;

  /** When the list was last known to be complete; null if it was never confirmed. */
  private Moment confirmedAt;

  /** When the connection to discovery broke after that; null if it did not. */
  private Moment brokenAt;

  ListLease(LeaseTerms terms) {
    this.terms = terms;
  }

  /**
   * Records that the list was complete at that time; a time before the latest one changes nothing.
   */
  void confirmed(Moment asOf) {
    if (confirmedAt == null || asOf.isAfter(confirmedAt)) {
      confirmedAt = asOf;
      if (brokenAt != null && !asOf.isBefore(brokenAt)) {
        brokenAt = null;
      }
    }
  }

  /** Records that the connection to discovery broke, at that time at the earliest. */
  void broken(Moment at) {
    if (brokenAt == null) {
      brokenAt = at;
    }
  }

  boolean isCurrent(Moment now) {
    if (confirmedAt == null) {
      return false;
    }
    Moment end = confirmedAt.plus(terms.validAfterConfirmation());
    if (brokenAt != null) {
      end = Moment.earlier(end, brokenAt.plus(terms.validAfterBreak()));
    }
    return now.isBefore(end);
  }

  /** Whether the list was known to be complete at some time after the given one. */
  boolean wasConfirmedSince(Moment time) {
    return confirmedAt != null && confirmedAt.isAfter(time);
  }

  /**
   * Returns how long ago the list was last confirmed; the time since {@code origin} if it never
   * was.
   */
  Span age(Moment now, Moment origin) {
    return now.since(confirmedAt == null ? origin : confirmedAt);
  }
}
