package flintlead.testing.soak;

/**
 * One attempt that arrived whole at a host.
 *
 * @param key the idempotency key; empty for none
 * @param limitMillis the time that the host was given
 * @param sentNanos when the gateway's bytes came out of its socket, also where the network held
 *     them
 * @param atNanos when it had arrived whole
 */
record HostAttemptRecord(
    String id,
    String trigger,
    String key,
    String body,
    long limitMillis,
    int host,
    long sentNanos,
    long atNanos) {}
