package flintlead.pool;

import java.util.List;

/**
 * A line of the routes: the first whose every part meets an invocation says where it goes. An empty list asks for nothing.
 *
 * @param to pools with their shares; one has share 1
 * @param by what an invocation's side of a split hangs on
 */
public record Route(List<Pattern> functions, List<String> triggerTypes, List<String> customers, List<Condition> when,
                    List<Share> to, By by) {

    /** A pool's part of a split; the parts count in proportion to their sum. */
    public record Share(String pool, double part) { }

    /** What is true of a pool now: whether it has fewer ready hosts than that, or has as many. */
    public record Condition(String pool, boolean fewer, int ready) {

        @Override
        public String toString() {
            return "ready(" + pool + ") " + (fewer ? "<" : ">=") + " " + ready;
        }

        /** @throws IllegalArgumentException when it is none, with how one is written */
        public static Condition parse(String text) {
            java.util.regex.Matcher parts = FORM.matcher(text);
            if (!parts.matches()) {
                throw new IllegalArgumentException("'" + text + "' is no condition; write ready(POOL) < 2 or ready(POOL) >= 2");
            }
            return new Condition(parts.group(1), parts.group(2).equals("<"), Integer.parseInt(parts.group(3)));
        }

        private static final java.util.regex.Pattern FORM = java.util.regex.Pattern.compile("ready\\((\\S+)\\)\\s*(<|>=)\\s*(\\d{1,6})");
    }

    /** What keeps to one side of a split. */
    public enum By {
        /** A function is on one side, so that its copies stand there only; the same from every gateway. */
        FUNCTION,
        /** A customer is on one side. */
        CUSTOMER,
        /** Each invocation by chance; one with a token by its token, so that a repeat goes the same way. */
        INVOCATION
    }

    public Route {
        functions = List.copyOf(functions);
        triggerTypes = List.copyOf(triggerTypes);
        customers = List.copyOf(customers);
        when = List.copyOf(when);
        to = List.copyOf(to);
    }

    /** All that no line before it meets goes there. */
    public static Route all(String pool) {
        return new Route(List.of(), List.of(), List.of(), List.of(), List.of(new Share(pool, 1)), By.FUNCTION);
    }

    /** As an operator reads it: what it asks for, and where it leads. */
    public String print() {
        List<String> asks = new java.util.ArrayList<>();
        functions.forEach(each -> asks.add(each.text()));
        triggerTypes.forEach(each -> asks.add("type " + each));
        customers.forEach(each -> asks.add("of " + each));
        when.forEach(each -> asks.add("when " + each));
        return (asks.isEmpty() ? "all" : String.join(", ", asks)) + " -> " + (to.size() == 1 ? to.get(0).pool()
            : String.join(", ", to.stream().map(share -> share.pool() + " " + share.part()).toList()) + " by "
                + by.name().toLowerCase(java.util.Locale.ROOT));
    }

    public boolean meetsAll() {
        return functions.isEmpty() && triggerTypes.isEmpty() && customers.isEmpty() && when.isEmpty();
    }

    /** Whether it asks for nothing of the moment, and the invocation is one of those it asks for. */
    boolean meets(Wish wish) {
        return (functions.isEmpty() || functions.stream().anyMatch(each -> each.meets(wish.function())))
            && (triggerTypes.isEmpty() || triggerTypes.contains(wish.triggerType()))
            && (customers.isEmpty() || wish.customer() != null && customers.contains(wish.customer()));
    }

    /** Whether nothing that the other meets would come past this one. */
    boolean covers(Route other) {
        return when.isEmpty()
            && (functions.isEmpty() || !other.functions.isEmpty()
                && other.functions.stream().allMatch(each -> functions.stream().anyMatch(own -> own.covers(each))))
            && (triggerTypes.isEmpty() || !other.triggerTypes.isEmpty() && triggerTypes.containsAll(other.triggerTypes))
            && (customers.isEmpty() || !other.customers.isEmpty() && customers.containsAll(other.customers));
    }
}
