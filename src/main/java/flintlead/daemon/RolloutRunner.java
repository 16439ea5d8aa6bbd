package flintlead.daemon;

import com.fasterxml.jackson.databind.JsonNode;
import flintlead.configuration.rollout.GatewayClients;
import flintlead.configuration.rollout.GatewayStatus;
import flintlead.configuration.rollout.Rollout;
import flintlead.configuration.rollout.RolloutRecord;
import flintlead.configuration.rollout.RolloutTiming;
import flintlead.discovery.snapshot.DurableStorage;
import flintlead.time.Moment;
import flintlead.time.Span;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicIntegerArray;
import java.util.function.Consumer;
import java.util.function.Function;

/**
 * Runs a rollout over the control sockets of gateways, with its record on disk. The rollout itself
 * is used by the thread that calls {@link #run}; calls to gateways block threads of a pool, and
 * their results are queued for that thread.
 */
public final class RolloutRunner implements GatewayClients {

  /** Calls one gateway's control socket, and waits for the response. Called by several threads. */
  public interface ControlClient {

    /**
     * Calls a method.
     *
     * @return the JSON-RPC response
     * @throws IOException when there is none in time
     */
    JsonNode call(String address, String method, Map<String, String> params)
        throws IOException, InterruptedException;
  }

  /** What a call that takes a rollout back adds to the rollout's id, as the id itself is fenced. */
  private static final String REVERT_SUFFIX = "-back";

  private static final int MAX_THREADS = 16;

  /** Most calls to one gateway at a time. */
  private static final int MAX_CALLS_PER_GATEWAY = 4;

  /** Longest wait for results between two looks at the rollout, in milliseconds. */
  private static final long POLL_MILLIS = 50;

  private static final long NANOS_PER_MICRO = 1_000;

  /** Results of calls, for the one thread that the rollout runs on. */
  private final BlockingQueue<Runnable> results = new LinkedBlockingQueue<>();

  private final ExecutorService callers;

  /** Calls under way, by gateway. */
  private final AtomicIntegerArray callsUnderWay;

  private final List<String> addresses;
  private final String id;

  /** Of the file with the hosts, pools and routes that gateways are to have. */
  private final String text;

  private final RolloutRecordFile recordFile;
  private final ControlClient client;
  private final Consumer<String> log;
  private final Rollout rollout;

  /**
   * Creates a new rollout.
   *
   * @param addresses of the gateways' control sockets, in the order in which they change
   * @param id the rollout's, different from all others
   * @param text of the file with the hosts, pools and routes that gateways are to have
   * @param storage where the record is kept
   * @param log receives lines for operators
   */
  public RolloutRunner(
      List<String> addresses,
      String id,
      String text,
      RolloutTiming timing,
      DurableStorage storage,
      ControlClient client,
      Consumer<String> log) {
    this(
        addresses,
        id,
        text,
        new RolloutRecordFile(storage),
        client,
        log,
        clients -> new Rollout(id, addresses, timing, clients));
  }

  private RolloutRunner(
      List<String> addresses,
      String id,
      String text,
      RolloutRecordFile recordFile,
      ControlClient client,
      Consumer<String> log,
      Function<GatewayClients, Rollout> rollout) {
    this.addresses = List.copyOf(addresses);
    this.id = id;
    this.text = text;
    this.recordFile = recordFile;
    this.client = client;
    this.log = log;
    this.callsUnderWay = new AtomicIntegerArray(addresses.size());
    this.callers =
        Executors.newFixedThreadPool(
            Math.min(MAX_THREADS, addresses.size()), RolloutRunner::daemonThread);
    this.rollout = rollout.apply(this);
  }

  private static Thread daemonThread(Runnable task) {
    Thread thread = new Thread(task, "rollout");
    thread.setDaemon(true);
    return thread;
  }

  /**
   * Returns a run that goes on with a stored rollout, or takes it back.
   *
   * @throws IOException when there is no record, or none that can be used
   */
  public static RolloutRunner resume(
      boolean undo,
      RolloutTiming timing,
      DurableStorage storage,
      ControlClient client,
      Consumer<String> log)
      throws IOException {
    RolloutRecordFile file = new RolloutRecordFile(storage);
    RolloutRecordFile.Stored stored = file.read();
    RolloutRecord record = stored.record();
    List<String> addresses =
        record.gateways().stream().map(RolloutRecord.GatewayRecord::name).toList();
    return new RolloutRunner(
        addresses,
        record.id(),
        stored.text(),
        file,
        client,
        log,
        clients -> Rollout.resume(record, undo, timing, clients));
  }

  /** Runs until the rollout is at its end, or for that long, and returns it. */
  public Rollout run(Span most) throws InterruptedException {
    Moment end = now().plus(most);
    try {
      while (!rollout.isFinished() && now().isBefore(end)) {
        rollout.wake(now());
        Runnable result = results.poll(POLL_MILLIS, TimeUnit.MILLISECONDS);
        while (result != null) {
          result.run();
          result = results.poll();
        }
      }
    } finally {
      callers.shutdownNow();
    }
    return rollout;
  }

  private static Moment now() {
    return new Moment(System.nanoTime() / NANOS_PER_MICRO);
  }

  // ---- calls ----

  /**
   * What is done on a caller's thread; it returns what is to be done with the result on the
   * rollout's thread.
   */
  private interface Call {
    Runnable make(String address) throws IOException, InterruptedException;
  }

  private void call(int gateway, Call call) {
    if (callsUnderWay.incrementAndGet(gateway) > MAX_CALLS_PER_GATEWAY) {
      // A gateway that does not answer is called again and again: calls must not pile up. This one
      // counts as never answered.
      callsUnderWay.decrementAndGet(gateway);
      return;
    }
    callers.execute(
        () -> {
          try {
            results.add(call.make(addresses.get(gateway)));
          } catch (IOException | RuntimeException e) {
            results.add(
                () -> rollout.onFailure(gateway, false, String.valueOf(e.getMessage()), now()));
          } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
          } finally {
            callsUnderWay.decrementAndGet(gateway);
          }
        });
  }

  /** Returns the result of a method, or the gateway's error: only the latter has a message. */
  private JsonNode request(String address, String method, Map<String, String> params)
      throws IOException, InterruptedException {
    JsonNode response = client.call(address, method, params);
    return response.has("error") ? response.path("error") : response.path("result").path("change");
  }

  private static boolean isError(JsonNode result) {
    return result.has("message");
  }

  private Runnable refusal(int gateway, JsonNode error) {
    return () -> rollout.onFailure(gateway, true, error.path("message").asText(), now());
  }

  private Runnable ignoreResult(int gateway, JsonNode result) {
    return isError(result) ? refusal(gateway, result) : () -> {};
  }

  @Override
  public void plan(int gateway) {
    call(
        gateway,
        address -> {
          JsonNode plan = request(address, "plan", Map.of("hosts", text));
          if (isError(plan)) {
            return refusal(gateway, plan);
          }
          JsonNode previous = request(address, "show", Map.of());
          String from = plan.path("from").asText();
          String to = plan.path("to").asText();
          List<String> faults = new ArrayList<>();
          plan.path("faults").forEach(each -> faults.add(each.asText()));
          // A gateway that has the version already need not be told: that nothing differs is no
          // fault.
          List<String> relevant = from.equals(to) ? List.of() : faults;
          return () -> rollout.onPlanned(gateway, relevant, from, to, previous.toString(), now());
        });
  }

  @Override
  public void apply(int gateway, String expects, boolean back) {
    Map<String, String> params =
        back
            ? Map.of(
                "hosts",
                rollout.previousConfiguration(gateway),
                "expects",
                expects,
                "rollout",
                id + REVERT_SUFFIX)
            : Map.of("hosts", text, "expects", expects, "rollout", id);
    call(gateway, address -> ignoreResult(gateway, request(address, "apply", params)));
  }

  @Override
  public void rollBack(int gateway) {
    call(gateway, address -> ignoreResult(gateway, request(address, "undo", Map.of())));
  }

  @Override
  public void queryStatus(int gateway, boolean fence) {
    call(
        gateway,
        address -> {
          JsonNode result =
              fence
                  ? request(address, "fence", Map.of("rollout", id))
                  : request(address, "status", Map.of());
          if (isError(result)) {
            return refusal(gateway, result);
          }
          GatewayStatus status = status(result);
          return () -> rollout.onStatus(gateway, status, fence, now());
        });
  }

  private static GatewayStatus status(JsonNode result) {
    return new GatewayStatus(
        result.path("stage").asText().equals("steady"),
        result.path("good").asText(),
        result.path("tried").asLong(),
        result.path("last").asText(),
        result.path("succeeded").asLong(),
        result.path("failed").asLong());
  }

  // ---- the record and the log ----

  @Override
  public boolean saveRecord(RolloutRecord record) {
    try {
      recordFile.write(record, text);
      return true;
    } catch (IOException e) {
      log.accept("the record can't be written: " + e.getMessage());
      return false;
    }
  }

  @Override
  public void log(String line) {
    log.accept(line);
  }
}
