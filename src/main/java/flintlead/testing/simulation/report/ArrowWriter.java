package flintlead.testing.simulation.report;

import flintlead.testing.scenario.EventRecorder;
import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.List;
import org.apache.arrow.memory.BufferAllocator;
import org.apache.arrow.memory.RootAllocator;
import org.apache.arrow.vector.BigIntVector;
import org.apache.arrow.vector.Float8Vector;
import org.apache.arrow.vector.IntVector;
import org.apache.arrow.vector.VarCharVector;
import org.apache.arrow.vector.VectorSchemaRoot;
import org.apache.arrow.vector.ipc.ArrowFileWriter;
import org.apache.arrow.vector.types.FloatingPointPrecision;
import org.apache.arrow.vector.types.pojo.ArrowType;
import org.apache.arrow.vector.types.pojo.Field;
import org.apache.arrow.vector.types.pojo.Schema;

/**
 * Writes the invocations of a run as an Arrow file (Apache Arrow columnar format 1.4, IPC file), in
 * batches.
 */
public final class ArrowWriter {

  private static final int BATCH_ROWS = 65_536;

  static final Schema SCHEMA =
      new Schema(
          List.of(
              Field.notNullable("at_us", new ArrowType.Int(64, true)),
              Field.notNullable("function", new ArrowType.Utf8()),
              Field.notNullable("trigger_type", new ArrowType.Utf8()),
              Field.nullable("gateway", new ArrowType.Utf8()),
              Field.notNullable("tries", new ArrowType.Int(32, true)),
              Field.notNullable("end", new ArrowType.Utf8()),
              Field.notNullable("took_us", new ArrowType.Int(64, true)),
              Field.notNullable(
                  "work_ms", new ArrowType.FloatingPoint(FloatingPointPrecision.DOUBLE))));

  private ArrowWriter() {}

  /**
   * Writes the recorded invocations.
   *
   * @return rows written
   */
  public static int write(Path file, EventRecorder recorder) throws IOException {
    List<EventRecorder.InvocationRecord> invocations = recorder.invocations;
    try (BufferAllocator memory = new RootAllocator();
        VectorSchemaRoot root = VectorSchemaRoot.create(SCHEMA, memory);
        FileChannel channel =
            FileChannel.open(
                file,
                StandardOpenOption.CREATE,
                StandardOpenOption.TRUNCATE_EXISTING,
                StandardOpenOption.WRITE);
        ArrowFileWriter writer = new ArrowFileWriter(root, null, channel)) {
      writer.start();
      for (int from = 0; from < invocations.size(); from += BATCH_ROWS) {
        List<EventRecorder.InvocationRecord> batch =
            invocations.subList(from, Math.min(invocations.size(), from + BATCH_ROWS));
        fill(root, batch);
        writer.writeBatch();
      }
      writer.end();
    }
    return invocations.size();
  }

  private static void fill(VectorSchemaRoot root, List<EventRecorder.InvocationRecord> batch) {
    root.allocateNew();
    for (int i = 0; i < batch.size(); i++) {
      EventRecorder.InvocationRecord each = batch.get(i);
      ((BigIntVector) root.getVector("at_us")).setSafe(i, each.at().micros());
      setText(root, "function", i, each.function());
      setText(root, "trigger_type", i, each.triggerType());
      setText(root, "gateway", i, each.gateway());
      ((IntVector) root.getVector("tries")).setSafe(i, each.attempts());
      setText(root, "end", i, each.completion().name());
      ((BigIntVector) root.getVector("took_us")).setSafe(i, each.latency().micros());
      ((Float8Vector) root.getVector("work_ms")).setSafe(i, each.workMs());
    }
    root.setRowCount(batch.size());
  }

  private static void setText(VectorSchemaRoot root, String column, int row, String value) {
    VarCharVector vector = (VarCharVector) root.getVector(column);
    if (value == null) {
      vector.setNull(row);
    } else {
      vector.setSafe(row, value.getBytes(StandardCharsets.UTF_8));
    }
  }
}
