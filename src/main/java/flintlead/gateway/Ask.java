package flintlead.gateway;

import flintlead.time.Span;

/**
 * One invocation as its client wants it.
 *
 * @param customer null where none is named
 * @param timeout the client timeout; null for the trigger type's
 * @param token the mark by which hosts know a repeat; null where the client gives none
 * @param payload a JSON text without line feeds; null for none
 * @param repeat whether the client has tried it before
 */
public record Ask(String function, String triggerType, String customer, Span timeout, String token, byte[] payload,
                  boolean repeat) {

    public static Ask of(String function, String triggerType) {
        return new Ask(function, triggerType, null, null, null, null, false);
    }

    public Ask customer(String named) {
        return new Ask(function, triggerType, named, timeout, token, payload, repeat);
    }

    public Ask timeout(Span most) {
        return new Ask(function, triggerType, customer, most, token, payload, repeat);
    }

    public Ask token(String mark) {
        return new Ask(function, triggerType, customer, timeout, mark, payload, repeat);
    }

    public Ask payload(byte[] json) {
        return new Ask(function, triggerType, customer, timeout, token, json, repeat);
    }

    long bytes() {
        return payload == null ? 0 : payload.length;
    }
}
