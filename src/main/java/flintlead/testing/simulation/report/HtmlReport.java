package flintlead.testing.simulation.report;

import flintlead.testing.scenario.EventRecorder;
import flintlead.testing.scenario.Scenario;
import flintlead.testing.scenario.ScenarioResult;
import flintlead.testing.simulation.Simulation;
import flintlead.testing.simulation.experiment.Experiment;
import flintlead.testing.simulation.experiment.PairedComparison;
import freemarker.template.Configuration;
import freemarker.template.TemplateException;
import freemarker.template.TemplateExceptionHandler;
import java.io.IOException;
import java.io.StringWriter;
import java.io.Writer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * Writes reports as HTML pages that need no other file. The keys of the models are those that the
 * templates in the resources {@code flintlead/lab} read.
 */
public final class HtmlReport {

  private final Configuration templates = new Configuration(Configuration.VERSION_2_3_34);

  /** A writer of pages, with the templates of the program. */
  public HtmlReport() {
    templates.setClassLoaderForTemplateLoading(HtmlReport.class.getClassLoader(), "/flintlead/lab");
    templates.setDefaultEncoding("UTF-8");
    templates.setLocale(Locale.ROOT);
    templates.setTemplateExceptionHandler(TemplateExceptionHandler.RETHROW_HANDLER);
    templates.setLogTemplateExceptions(false);
  }

  // ---- one run ----

  /** Writes the report of one run. */
  public void writeRun(
      Path file, Scenario scenario, long seed, Simulation.Run run, EventRecorder recorder)
      throws IOException {
    ScenarioResult result = run.result();
    Map<String, Object> model = new LinkedHashMap<>();
    model.put("plan", scenarioModel(scenario));
    model.put("seed", Long.toString(seed));
    model.put("sum", String.format("%08x", run.eventSum()));
    model.put("events", run.events());
    model.put("wrong", run.problem() == null ? "" : run.problem());
    model.put("value", result.service());
    model.put("dispatches", result.dispatches());
    model.put("loads", result.loads());
    model.put("wasted", result.wasted());
    List<Map<String, Object>> types = new ArrayList<>();
    result.types().forEach((name, type) -> types.add(typeModel(name, type)));
    model.put("types", types);
    model.put("breaches", result.breaches().stream().map(Object::toString).toList());
    model.put("leftOut", recorder.droppedInvocations());
    model.put("plots", plots(scenario, recorder));
    write(file, "day.ftlh", model);
  }

  private static Map<String, Object> scenarioModel(Scenario scenario) {
    return Map.of(
        "name",
        scenario.name(),
        "gateways",
        scenario.gateways(),
        "hosts",
        scenario.hosts(),
        "perSecond",
        scenario.invocationsPerSecond(),
        "seconds",
        scenario.duration().micros() / 1e6,
        "policy",
        scenario.policy());
  }

  private static Map<String, Object> typeModel(String name, ScenarioResult.TypeResult type) {
    return Map.of(
        "name",
        name,
        "asked",
        type.asked,
        "inTime",
        type.inObjective,
        "late",
        type.late,
        "throttled",
        type.throttled,
        "errored",
        type.errored,
        "lost",
        type.lost,
        "p50",
        type.p50Ms,
        "p99",
        type.p99Ms);
  }

  private static List<String> plots(Scenario scenario, EventRecorder recorder) {
    Map<String, Integer> invocations = new LinkedHashMap<>();
    recorder.invocations.forEach(each -> invocations.merge(each.function(), 1, Integer::sum));
    List<String> plots =
        new ArrayList<>(
            List.of(
                TimePlots.completions(scenario, recorder),
                TimePlots.latency(scenario, recorder),
                HostHeatMap.draw(scenario, recorder),
                SvgPlots.spread(recorder.hostsPerFunction(), invocations)));
    plots.removeIf(String::isEmpty);
    return plots;
  }

  // ---- experiments ----

  /** Writes the report of an experiment: each arm compared with the first. */
  public void writeExperiment(Path file, String title, List<Experiment.Arm> arms, int seeds)
      throws IOException {
    List<Map<String, Object>> rows = new ArrayList<>();
    List<Map<String, Object>> sections = new ArrayList<>();
    Experiment.Arm first = arms.get(0);
    for (Experiment.Arm arm : arms) {
      rows.add(Map.of("name", arm.name(), "wrong", arm.problems(), "cpu", arm.cpuSeconds()));
      if (arm != first) {
        List<Map<String, Object>> outcomes = new ArrayList<>();
        Experiment.compare(first, arm)
            .forEach((name, paired) -> outcomes.add(comparisonModel(name, paired)));
        sections.add(Map.of("name", arm.name(), "first", first.name(), "outcomes", outcomes));
      }
    }
    List<String> plots = new ArrayList<>();
    first.outcomes().keySet().forEach(metric -> plots.add(SvgPlots.arms(metric, arms)));
    Map<String, Object> model = new LinkedHashMap<>();
    model.put("title", title);
    model.put("seeds", seeds);
    model.put("arms", rows);
    model.put("sections", sections);
    model.put("plots", plots);
    write(file, "experiment.ftlh", model);
  }

  private static Map<String, Object> comparisonModel(String name, PairedComparison paired) {
    Map<String, Object> row = new LinkedHashMap<>();
    row.put("name", name);
    row.put("first", paired.first());
    row.put("second", paired.second());
    row.put("difference", paired.difference());
    row.put("interval", String.format(Locale.ROOT, "%+.4f to %+.4f", paired.low(), paired.high()));
    row.put(
        "boot",
        String.format(
            Locale.ROOT, "%+.4f to %+.4f", paired.bootstrapLow(), paired.bootstrapHigh()));
    row.put("above", paired.above());
    row.put("below", paired.below());
    row.put("clear", paired.isSignificant());
    return row;
  }

  private void write(Path file, String template, Map<String, Object> model) throws IOException {
    StringWriter text = new StringWriter();
    try {
      templates.getTemplate(template).process(model, text);
    } catch (TemplateException e) {
      throw new IOException("the page could not be made: " + e.getMessage(), e);
    }
    try (Writer out = Files.newBufferedWriter(file)) {
      out.write(text.toString());
    }
  }
}
