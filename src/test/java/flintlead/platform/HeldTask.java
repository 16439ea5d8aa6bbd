package flintlead.platform;

import java.io.IOException;

/** A task that a fake host holds back until the test releases it. */
final class HeldTask {

  private volatile TestIo.Task task;

  void hold(TestIo.Task held) {
    task = held;
  }

  boolean isHeld() {
    return task != null;
  }

  void release() throws IOException {
    task.run();
  }
}
