package flintlead.rollout;

import java.util.List;

/**
 * What a rollout keeps while it is under way, so that another process can go on with it or take it back.
 *
 * @param id by which gateways know calls of this rollout from those of others
 * @param reverting whether it is being taken back, and why
 */
public record Record(String id, List<One> gateways, String reverting) {

    /**
     * One gateway of it.
     *
     * @param from the version that it had
     * @param to the version that it is to have
     * @param before the text by which it gets back what it had
     * @param touched whether it may have been told of the change
     */
    public record One(String name, String from, String to, String before, boolean touched) { }

    public Record {
        gateways = List.copyOf(gateways);
    }
}
