package edgegateway;

import static com.tngtech.archunit.core.domain.JavaClass.Predicates.resideInAPackage;
import static com.tngtech.archunit.core.domain.JavaClass.Predicates.resideOutsideOfPackage;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.classes;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import org.junit.jupiter.api.Test;

/**
 * Checks the dependencies between packages that the table in {@code docs/ARCHITECTURE.md} allows.
 */
class ArchitectureTest {
  private static final JavaClasses CLASSES =
      new ClassFileImporter()
          .withImportOption(new ImportOption.DoNotIncludeTests())
          .importPackages("edgegateway");

  @Test
  void policyApiDependsOnlyOnTheJdk() {
    classes()
        .that()
        .resideInAPackage("edgegateway.policy.api..")
        .should()
        .onlyDependOnClassesThat()
        .resideInAnyPackage("edgegateway.policy.api..", "java..")
        .check(CLASSES);
  }

  @Test
  void policyDependsOnNeitherHostNorNettyNorJackson() {
    classes()
        .that()
        .resideInAPackage("edgegateway.policy..")
        .should()
        .onlyDependOnClassesThat()
        .resideInAnyPackage("edgegateway.policy..", "org.ejml..", "java..")
        .check(CLASSES);
  }

  @Test
  void policyDoesNoIoAndReadsNoClock() {
    noClasses()
        .that()
        .resideInAPackage("edgegateway.policy..")
        .should()
        .dependOnClassesThat()
        .resideInAnyPackage("java.io..", "java.net..", "java.nio..", "java.time..")
        .orShould()
        .callMethod(System.class, "nanoTime")
        .orShould()
        .callMethod(System.class, "currentTimeMillis")
        .check(CLASSES);
  }

  @Test
  void subpackagesOfPolicyDoNotDependOnItsFacade() {
    noClasses()
        .that()
        .resideInAnyPackage("edgegateway.policy.*..")
        .should()
        .dependOnClassesThat()
        .resideInAPackage("edgegateway.policy")
        .check(CLASSES);
  }

  @Test
  void protocolDependsOnlyOnThePolicyApiAndJackson() {
    classes()
        .that()
        .resideInAPackage("edgegateway.protocol..")
        .should()
        .onlyDependOnClassesThat()
        .resideInAnyPackage(
            "edgegateway.protocol..",
            "edgegateway.policy.api..",
            "com.fasterxml.jackson..",
            "java..")
        .check(CLASSES);
  }

  @Test
  void simulatorDependsOnPolicyAndProtocolButNotOnNode() {
    classes()
        .that()
        .resideInAPackage("edgegateway.simulator..")
        .should()
        .onlyDependOnClassesThat()
        .resideInAnyPackage(
            "edgegateway.simulator..",
            "edgegateway.policy",
            "edgegateway.policy.api..",
            "edgegateway.protocol..",
            "java..")
        .check(CLASSES);
  }

  @Test
  void nodeDependsOnPolicyOnlyThroughFacadeAndApi() {
    noClasses()
        .that()
        .resideInAPackage("edgegateway.node..")
        .should()
        .dependOnClassesThat(
            resideInAPackage("edgegateway.policy.*..")
                .and(resideOutsideOfPackage("edgegateway.policy.api..")))
        .check(CLASSES);
  }

  @Test
  void subpackagesOfNodeDoNotDependOnNode() {
    noClasses()
        .that()
        .resideInAPackage("edgegateway.node.*..")
        .should()
        .dependOnClassesThat()
        .resideInAPackage("edgegateway.node")
        .check(CLASSES);
  }

  @Test
  void subpackagesOfPolicyHaveNoCycles() {
    slices().matching("edgegateway.policy.(*)..").should().beFreeOfCycles().check(CLASSES);
  }

  @Test
  void subpackagesOfNodeHaveNoCycles() {
    slices().matching("edgegateway.node.(*)..").should().beFreeOfCycles().check(CLASSES);
  }

  @Test
  void clientsAndUpstreamDoNotDependOnEachOther() {
    noClasses()
        .that()
        .resideInAPackage("edgegateway.node.clients..")
        .should()
        .dependOnClassesThat()
        .resideInAPackage("edgegateway.node.upstream..")
        .orShould()
        .dependOnClassesThat()
        .resideInAPackage("edgegateway.node.discovery..")
        .check(CLASSES);
    noClasses()
        .that()
        .resideInAPackage("edgegateway.node.upstream..")
        .should()
        .dependOnClassesThat()
        .resideInAPackage("edgegateway.node.clients..")
        .check(CLASSES);
  }
}
