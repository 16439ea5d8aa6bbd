package flintlead.port;

import flintlead.time.Span;
import java.util.List;

/** The facts a gateway is told at startup; the decisions need not read them all. */
public record Deployment(int index, int gateways, int zone, Span tick, boolean hostsOnRequest,
                         List<TriggerType> triggerTypes, List<Double> customerQuotas,
                         Span answerSlack, Span askWithin, double coldFrom, Span warmAfter, double fallMultiple,
                         Span overloadFor, int dispatchCap, boolean cancels, boolean secondCopies,
                         boolean probes, boolean peers, boolean retryAfter, Span maxRetryAfter,
                         boolean loadsWhenAbsent, boolean orders, boolean tellsWarm, boolean tellsCrowd,
                         Span idleLife, Span loadWait, Span loadsWithin, double freeLoads, double loadShare,
                         List<String> reportNames) {
}
