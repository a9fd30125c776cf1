package pathlane;

import static com.tngtech.archunit.core.domain.JavaClass.Predicates.resideInAnyPackage;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

import com.tngtech.archunit.base.DescribedPredicate;
import com.tngtech.archunit.core.domain.JavaClass;
import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import java.net.InetSocketAddress;
import java.time.Clock;
import java.util.Date;
import org.junit.jupiter.api.Test;

/** Checks that this module uses no I/O, threads or clocks, so that all of it can run in virtual time. */
class BoundariesTest {

    private static final JavaClasses CORE = new ClassFileImporter()
            .withImportOption(ImportOption.Predefined.DO_NOT_INCLUDE_TESTS).importPackages("pathlane");

    private static final DescribedPredicate<JavaClass> ADDRESS_TYPES =
            JavaClass.Predicates.type(InetSocketAddress.class).or(JavaClass.Predicates.type(java.net.InetAddress.class));

    @Test
    void noClassUsesSocketsFilesOrThreads() {
        noClasses().should().dependOnClassesThat(resideInAnyPackage("java.net..", "java.nio.channels..",
                "java.nio.file..", "java.io..", "io.netty..", "io.grpc..").and(DescribedPredicate.not(ADDRESS_TYPES)))
                .orShould().dependOnClassesThat().belongToAnyOf(Thread.class, java.util.concurrent.Executor.class)
                .check(CORE);
    }

    @Test
    void noClassReadsClock() {
        noClasses().should().callMethod(System.class, "nanoTime").orShould()
                .callMethod(System.class, "currentTimeMillis").orShould().callMethod(java.time.Instant.class, "now")
                .orShould().dependOnClassesThat().belongToAnyOf(Clock.class, Date.class).check(CORE);
    }

    @Test
    void decisionDependsOnlyOnSettingsAndSlowStart() {
        noClasses().that().resideInAPackage("pathlane.decision..").should().dependOnClassesThat(
                resideInAnyPackage("pathlane..").and(DescribedPredicate.not(
                        resideInAnyPackage("pathlane.decision..", "pathlane.config", "pathlane.slowstart"))))
                .check(CORE);
    }

    @Test
    void decisionSupportDoesNotDependOnPolicy() {
        assertDependsOnlyOn("pathlane.decision.support", "pathlane.decision", "pathlane.decision.support");
    }

    @Test
    void slowStartAndRetryDoNotDependOnCallsOrConnections() {
        assertDependsOnlyOn("pathlane.slowstart", "pathlane.slowstart", "pathlane.config");
        assertDependsOnlyOn("pathlane.retry", "pathlane.retry", "pathlane.decision");
    }

    @Test
    void callControllerDoesNotDependOnConnections() {
        noClasses().that().resideInAPackage("pathlane.core").should()
                .dependOnClassesThat(resideInAnyPackage("pathlane.transport", "pathlane.retry")).check(CORE);
    }

    private static void assertDependsOnlyOn(String from, String... allowed) {
        noClasses().that().resideInAPackage(from).should().dependOnClassesThat(
                resideInAnyPackage("pathlane..").and(DescribedPredicate.not(resideInAnyPackage(allowed)))).check(CORE);
    }

    @Test
    void settingsDependOnNoOtherPackage() {
        noClasses().that().resideInAPackage("pathlane.config").should().dependOnClassesThat(
                resideInAnyPackage("pathlane..").and(DescribedPredicate.not(
                        resideInAnyPackage("pathlane.config"))))
                .check(CORE);
    }
}
