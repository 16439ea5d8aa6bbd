package flintlead.testing.scenario;

import flintlead.testing.emulator.HostEmulator;
import flintlead.testing.emulator.HostStatus;
import flintlead.time.Span;
import flintlead.transport.loop.EventLoop;
import java.util.ArrayList;
import java.util.List;

/** Records the state of all hosts at regular intervals, for reports. On the client loop. */
final class FleetSampler {

  private final RunContext context;
  private final HostFleet hosts;
  private final HostDirectory directory;
  private final EventRecorder recorder;

  FleetSampler(
      RunContext context, HostFleet hosts, HostDirectory directory, EventRecorder recorder) {
    this.context = context;
    this.hosts = hosts;
    this.directory = directory;
    this.recorder = recorder;
  }

  /** Takes a sample now and schedules the next. */
  void sample() {
    Span at = context.environment.now().since(context.startedAt());
    List<EventRecorder.HostSample> samples = new ArrayList<>();
    EventLoop hostLoop = context.hostLoop;
    RunContext.runOn(hostLoop, () -> hosts.hosts().forEach(host -> samples.add(sample(host))));
    recorder.add(new EventRecorder.FleetSample(at, samples));
    if (!context.isEnding()) {
      context.clientLoop.scheduleAfter(EventRecorder.SAMPLE_INTERVAL, this::sample);
    }
  }

  private EventRecorder.HostSample sample(HostEmulator host) {
    HostStatus status = host.status();
    boolean draining = status.up() && (status.draining() || directory.isDraining(host.name()));
    return new EventRecorder.HostSample(
        host.name(),
        status.up(),
        status.cold(),
        draining,
        status.working(),
        status.waiting(),
        status.loading());
  }
}
