package flintlead.day;

import flintlead.time.Span;

/**
 * One thing that goes wrong.
 *
 * @param part of the hosts, gateways, functions or clients that it meets
 * @param size how bad: times the traffic, times slower, share that fails, by kind
 * @param length for kinds that come in pieces: how long each lasts
 */
public record Trouble(Kind kind, Span at, Span lasts, double part, double size, Span length) {

    /** What can go wrong. */
    public enum Kind {
        /** Traffic of so many times the usual. */
        BURST,
        /** Hosts drain, go, and come back cold, a few at a time. */
        DEPLOY,
        /** Hosts take invocations and answer none. */
        HANG,
        /** Hosts accept connections and read nothing. */
        SILENT,
        /** Hosts fail a share of their invocations at once. */
        FAST_ERRORS,
        /** Hosts stand still again and again. */
        PAUSES,
        /** Functions are released anew: idle copies are void. */
        FLUSH,
        /** A share of the invocations is for functions wanted only once. */
        SCAN,
        /** A zone dies and comes back cold. */
        ZONE_LOSS,
        /** Hosts die together and come back cold. */
        MASS_RESTART,
        /** Hosts grow slower and slower, die, and come back cold. */
        AGEING,
        /** Gateways are killed and come back with nothing. */
        GATEWAY_CRASH,
        /** Gateways stand still. */
        GATEWAY_STALL,
        /** Clients have little time, or cancel before it is up. */
        GIVE_UP,
        /** Clients close their connections in the middle of it and come back. */
        HANG_UP,
        /** The store is slow, and stops for a time in the middle. */
        STORE_SLOW,
        /** Load reports stand still. */
        REPORT_LATE,
        /** Answers break off with their connection. */
        RESET,
        /** Half of an answer comes, and then nothing. */
        HALF_ANSWER,
        /** Answers come under a wrong number. */
        WRONG_ID,
        /** Hosts say that they are full. */
        FULL,
        /** The registry's connections break, and it forgets its past. */
        REGISTRY_COMPACT,
        /** The registry is away for a time. */
        REGISTRY_RESTART,
        /** The registry comes back empty, as another cluster; hosts register again one by one. */
        REGISTRY_EMPTY
    }
}
