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

/** Which package may know which: the table in {@code docs/ARCHITECTURE.md}. */
class ArchitectureTest {
  private static final JavaClasses CLASSES =
      new ClassFileImporter()
          .withImportOption(new ImportOption.DoNotIncludeTests())
          .importPackages("edgegateway");

  @Test
  void policyInterfaceKnowsOnlyTheJdk() {
    classes()
        .that()
        .resideInAPackage("edgegateway.policy.api..")
        .should()
        .onlyDependOnClassesThat()
        .resideInAnyPackage("edgegateway.policy.api..", "java..")
        .check(CLASSES);
  }

  @Test
  void policyKnowsNeitherHostNorNettyNorJackson() {
    classes()
        .that()
        .resideInAPackage("edgegateway.policy..")
        .should()
        .onlyDependOnClassesThat()
        .resideInAnyPackage("edgegateway.policy..", "org.ejml..", "java..")
        .check(CLASSES);
  }

  @Test
  void policyDoesNoInputOrOutputAndReadsNoClock() {
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
  void mechanismsOfThePolicyDoNotKnowTheFacade() {
    noClasses()
        .that()
        .resideInAnyPackage("edgegateway.policy.*..")
        .should()
        .dependOnClassesThat()
        .resideInAPackage("edgegateway.policy")
        .check(CLASSES);
  }

  @Test
  void protocolMapsNamesAndKnowsNoHost() {
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
  void simulatorKnowsThePolicyAndNoNode() {
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
  void nodeKnowsOfThePolicyOnlyTheFacadeAndItsInterface() {
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
  void partsOfTheNodeDoNotReachBackIntoIt() {
    noClasses()
        .that()
        .resideInAPackage("edgegateway.node.*..")
        .should()
        .dependOnClassesThat()
        .resideInAPackage("edgegateway.node")
        .check(CLASSES);
  }

  @Test
  void mechanismsOfThePolicyHaveNoCycles() {
    slices().matching("edgegateway.policy.(*)..").should().beFreeOfCycles().check(CLASSES);
  }

  @Test
  void partsOfTheNodeHaveNoCycles() {
    slices().matching("edgegateway.node.(*)..").should().beFreeOfCycles().check(CLASSES);
  }

  @Test
  void clientsAndUpstreamMeetOnlyInRequests() {
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
