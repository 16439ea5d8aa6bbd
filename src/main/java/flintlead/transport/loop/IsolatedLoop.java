package flintlead.transport.loop;

import java.util.Collection;
import java.util.List;
import java.util.function.Consumer;

/**
 * Runs an action on each of several elements so that a failure on one does not reach the others.
 */
public final class IsolatedLoop {

  private IsolatedLoop() {}

  /**
   * Runs the action on a copy of the elements.
   *
   * @param onFailure receives each exception of the action
   */
  public static <T> void forEach(
      Collection<? extends T> elements, Consumer<T> action, Consumer<RuntimeException> onFailure) {
    for (T element : List.copyOf(elements)) {
      try {
        action.accept(element);
      } catch (RuntimeException e) {
        onFailure.accept(e);
      }
    }
  }
}
