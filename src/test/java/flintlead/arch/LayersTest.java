package flintlead.arch;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import org.junit.jupiter.api.Test;

/** Imports run one way: what decides knows no I/O, the library knows no daemon. */
class LayersTest {

    private static final JavaClasses ALL = new ClassFileImporter()
        .withImportOption(ImportOption.Predefined.DO_NOT_INCLUDE_TESTS).importPackages("flintlead");

    /** Packages that decide, or keep state for those that do. */
    private static final String[] PURE = {"flintlead", "flintlead.state..", "flintlead.port..", "flintlead.time..",
        "flintlead.admission..", "flintlead.ledger..", "flintlead.watch..", "flintlead.hosts..", "flintlead.dial..",
        "flintlead.member..", "flintlead.learn..", "flintlead.change..", "flintlead.pool..", "flintlead.rollout..", "flintlead.facts.."};

    @Test
    void whatDecidesKnowsNoInputNoClockAndNoThread() {
        noClasses().that().resideInAnyPackage(PURE).should().dependOnClassesThat().resideInAnyPackage("java.io..",
            "java.net..", "java.nio.channels..", "java.nio.file..", "java.util.concurrent..", "io.netty..", "org.slf4j..",
            "com.fasterxml..", "flintlead.loop..", "flintlead.netty..", "flintlead.gateway..").check(ALL);
        noClasses().that().resideInAnyPackage(PURE).should().callMethod(System.class, "nanoTime")
            .orShould().callMethod(System.class, "currentTimeMillis").orShould().callMethod(Math.class, "random")
            .check(ALL);
    }

    @Test
    void theLibraryKnowsNoDaemonAndNoRig() {
        noClasses().that().resideInAnyPackage("flintlead.gateway..", "flintlead.front..", "flintlead.link..",
            "flintlead.rpc..", "flintlead.ids..", "flintlead.loop..", "flintlead.netty..", "flintlead.client..",
            "flintlead.registry..", "flintlead.snapshot..", "flintlead.http..", "flintlead.platform..")
            .should().dependOnClassesThat().resideInAnyPackage("flintlead.daemon..", "flintlead.cli..",
            "flintlead.yaml..", "flintlead.standin..", "flintlead.day..", "flintlead.load..", "flintlead.lab..", "picocli..",
            "ch.qos.logback..", "org.snakeyaml..", "org.HdrHistogram..").check(ALL);
    }

    @Test
    void onlyTheNettyPackageKnowsChannels() {
        noClasses().that().resideOutsideOfPackages("flintlead.netty..", "flintlead.http..").should().dependOnClassesThat()
            .resideInAnyPackage("io.netty.channel..", "io.netty.bootstrap..").check(ALL);
    }

    @Test
    void noTwoPackagesNeedEachOther() {
        slices().matching("flintlead.(*)..").should().beFreeOfCycles().check(ALL);
    }
}
