package flintlead.gateway.downstream;

import flintlead.routing.admission.AdmissionController;
import flintlead.transport.jsonrpc.LineDecoder;
import flintlead.transport.loop.EventExecutor;
import flintlead.transport.loop.Stream;
import java.util.function.BooleanSupplier;

/** Stops reading from a client that has too much in the gateway or leaves responses unread. */
final class ReadGate {

  private final EventExecutor loop;
  private final AdmissionController admission;
  private final AdmissionController.Source source;
  private final Stream stream;
  private final LineDecoder decoder;
  private final BooleanSupplier isClosed;
  private final Runnable noteUnsent;
  private boolean paused;
  private boolean checkScheduled;

  /**
   * Makes an open gate.
   *
   * @param isClosed whether the connection has ended
   * @param noteUnsent brings admission control's knowledge of unread responses up to date
   */
  ReadGate(
      EventExecutor loop,
      AdmissionController admission,
      AdmissionController.Source source,
      Stream stream,
      LineDecoder decoder,
      BooleanSupplier isClosed,
      Runnable noteUnsent) {
    this.loop = loop;
    this.admission = admission;
    this.source = source;
    this.stream = stream;
    this.decoder = decoder;
    this.isClosed = isClosed;
    this.noteUnsent = noteUnsent;
  }

  /** Stops reading if admission control wants no more from the source. */
  void pauseIfFull() {
    if (!isClosed.getAsBoolean() && !paused && !admission.mayRead(source)) {
      paused = true;
      decoder.pause();
      stream.setAutoRead(false);
      resumeIfRoom();
    }
  }

  /**
   * Reads on if there is room, in an event of its own, since responses may come while a line is
   * being read.
   */
  void resumeIfRoom() {
    if (paused && !checkScheduled) {
      checkScheduled = true;
      loop.scheduleAt(loop.now(), this::checkRoom);
    }
  }

  private void checkRoom() {
    checkScheduled = false;
    noteUnsent.run();
    if (!isClosed.getAsBoolean() && paused && admission.mayRead(source)) {
      paused = false;
      decoder.resume();
      if (!paused && !isClosed.getAsBoolean()) {
        stream.setAutoRead(true);
      }
    }
  }
}
