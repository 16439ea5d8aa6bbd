package flintlead.port;

import flintlead.time.Span;

/** One taken invocation: all that happens to it after the taking. */
public interface Handle {

    /** A dispatch has ended. When {@code last}, the client already has its final answer. */
    void ended(int dispatch, Outcome outcome, Span elapsed, boolean last, int remark, float[] report);

    /** The streamed answer of a dispatch has begun. */
    void started(int dispatch, Span elapsed);

    /** The client has left. */
    void hungUp();

    /** The gateway stops: the final answer is wanted now. Nothing happens where it was given. */
    void giveUp();

    /** Whether nothing more can happen to it, so that the handle may be forgotten. */
    boolean isOver();
}
