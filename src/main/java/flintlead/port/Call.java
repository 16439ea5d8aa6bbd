package flintlead.port;

import flintlead.time.Span;

/** What a gateway is told of an invocation when it takes it; spans and sizes are zero where they are not told. */
public record Call(int triggerType, int customer, long function, Span left, Span workHint, boolean hinted,
                   double memoryMb, double lanes, Span loadHint, boolean repeat) {
}
