package flintlead.scheduling.lease;

import flintlead.time.Moment;
import flintlead.time.Span;

/**
 * Until when the host list renews the leases of all its hosts. A gateway can't know when discovery
 * went out of reach, only when the list was last known to hold everything.
 */
final class ListLease {

  private final LeaseTerms terms;

  /** When the list last held everything; null where nobody has confirmed it. */
  private Moment confirmedAt;

  /** When the connection to discovery broke since then; null where it did not. */
  private Moment brokenAt;

  ListLease(LeaseTerms terms) {
    this.terms = terms;
  }

  /** The list held everything at that time; older word than the last changes nothing. */
  void confirmed(Moment asOf) {
    if (confirmedAt == null || asOf.isAfter(confirmedAt)) {
      confirmedAt = asOf;
      if (brokenAt != null && !asOf.isBefore(brokenAt)) {
        brokenAt = null;
      }
    }
  }

  /** The connection to discovery broke, at that time at the earliest. */
  void broken(Moment at) {
    if (brokenAt == null) {
      brokenAt = at;
    }
  }

  boolean isCurrent(Moment now) {
    if (confirmedAt == null) {
      return false;
    }
    Moment end = confirmedAt.plus(terms.afterConfirmation());
    if (brokenAt != null) {
      end = Moment.earlier(end, brokenAt.plus(terms.afterBreak()));
    }
    return now.isBefore(end);
  }

  /** Whether the list held everything at that time or later. */
  boolean wasConfirmedSince(Moment time) {
    return confirmedAt != null && confirmedAt.isAfter(time);
  }

  /** How long ago the list was confirmed; the time since {@code origin} where it never was. */
  Span age(Moment now, Moment origin) {
    return now.since(confirmedAt == null ? origin : confirmedAt);
  }
}
