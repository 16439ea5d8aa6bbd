package flintlead.gateway;

import flintlead.admission.Intake;
import flintlead.link.HostSpec;
import flintlead.loop.Loop;
import flintlead.loop.Transport;
import flintlead.pool.Blend;
import flintlead.pool.Sight;
import flintlead.pool.Wish;
import flintlead.port.Dispatcher;
import flintlead.time.Moment;
import flintlead.time.Span;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.Supplier;

/** The gateway as a front sees it, on the gateway's loop only. */
public interface Taker {

    Loop loop();

    Transport transport();

    Intake intake();

    /**
     * Takes the invocation, or throttles it untaken.
     *
     * @param reply hears the one final answer, perhaps within this call
     * @return its number; -1 where it was not taken
     * @throws RefusedException when something in it is wrong; nothing is answered then
     */
    long take(Ask ask, Intake.Source source, Consumer<Answer> reply) throws RefusedException;

    /** Its client has left: no answer goes out. */
    void leave(long invocation);

    /** Its client wants it no more: it is answered as errored. False where it had its answer. */
    boolean cancel(long invocation);

    /** The client timeout of a trigger type; null where there is none of that name. */
    Span clientTimeout(String triggerType);

    /** When a host last answered anything; null where it never did or is not in the list. */
    Moment heardAt(String host);

    /** Asks a host whether it lives. */
    void ask(String host);

    /** The whole list of hosts. */
    void hosts(List<HostSpec> list);

    /**
     * The hosts, and how invocations are led to them, in one event.
     *
     * @param list null for the hosts as they are
     * @return what stands in the way; none where it is done
     */
    List<String> layouts(Blend blend, List<HostSpec> list);

    /** At most so many of the invocations that came last: what a change of routes is reckoned on. */
    List<Wish> recent(int most);

    /** What is known of each pool. */
    List<Sight> pools();

    /** Who carries words to other gateways' decisions; null for nobody. */
    void company(Company others);

    /** Words of another gateway's decisions. */
    void heard(int gateway, byte[] words);

    /** So many gateways live or may live. */
    void gatewaysAre(int there);

    /** Another gateway saw copies stand, so long ago. */
    void learned(long host, long function, int copies, Span age);

    /** What the decisions have seen themselves. */
    void teach(Dispatcher.Pupil pupil);

    /** Other gateways, as far as the decisions speak with them. */
    interface Company {
        void tell(int gateway, byte[] words);

        void tellAll(byte[] words);
    }

    /** What has been counted so far. */
    Counts counts();

    /** Answers a question that a front may be asked, with a member of JSON; in place of what answered it before. */
    void answers(String question, Supplier<byte[]> json);

    /** The answer to such a question; null where nobody gives one. */
    byte[] answer(String question);

    /** A front that is to be told of the gateway's end. */
    void add(Front front);

    /** What the gateway tells its fronts. */
    interface Front {

        /** Nothing more is taken; those that are connected keep their connection for the answers still to come. */
        void stopping();

        /** Everything has its answer: what is written goes out, then the connections close. */
        void close();

        /** All connections are dropped. */
        void kill();
    }
}
