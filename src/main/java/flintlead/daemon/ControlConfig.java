package flintlead.daemon;

import flintlead.configuration.transaction.RollbackThresholds;
import flintlead.transport.loop.Address;
import java.nio.file.Path;

/**
 * How a running gateway can be changed by an operator.
 *
 * @param socket where the control socket listens
 * @param transactionDirectory the directory in which a transaction is written down before it
 *     begins; null for nowhere
 * @param thresholds how carefully a change is applied, and what rolls it back
 */
public record ControlConfig(
    Address.Unix socket, Path transactionDirectory, RollbackThresholds thresholds) {}
