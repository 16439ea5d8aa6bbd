package flintlead.pool;

import flintlead.time.Span;

/**
 * What of an invocation its route hangs on.
 *
 * @param customer null where none is named
 * @param token the client's mark of a tokened invocation; null for any other
 * @param window how long hosts know that mark after the last dispatch
 */
public record Wish(String function, String triggerType, String customer, String token, Span window) {
}
