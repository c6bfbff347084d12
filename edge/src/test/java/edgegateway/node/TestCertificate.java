package edgegateway.node;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.GeneralSecurityException;
import java.security.KeyStore;
import java.util.Base64;
import javax.net.ssl.SSLContext;
import javax.net.ssl.TrustManagerFactory;

/** A certificate for tests, made by the JDK's own tool. */
final class TestCertificate {
  private static final char[] PASSWORD = "for-tests".toCharArray();
  private final Path certificate;
  private final Path key;
  private final KeyStore trusted = KeyStore.getInstance(KeyStore.getDefaultType());

  TestCertificate(Path folder) throws GeneralSecurityException, IOException, InterruptedException {
    Path store = folder.resolve("store.p12");
    Process made =
        new ProcessBuilder(
                Path.of(System.getProperty("java.home"), "bin", "keytool").toString(),
                "-genkeypair",
                "-alias",
                "node",
                "-keyalg",
                "RSA",
                "-keysize",
                "2048",
                "-dname",
                "CN=node",
                "-validity",
                "2",
                "-storetype",
                "PKCS12",
                "-keystore",
                store.toString(),
                "-storepass",
                new String(PASSWORD))
            .inheritIO()
            .start();
    if (made.waitFor() != 0) {
      throw new IOException("no certificate was made");
    }
    KeyStore keys = KeyStore.getInstance("PKCS12");
    try (InputStream in = Files.newInputStream(store)) {
      keys.load(in, PASSWORD);
    }
    certificate =
        pem(
            folder.resolve("certificate.pem"),
            "CERTIFICATE",
            keys.getCertificate("node").getEncoded());
    key = pem(folder.resolve("key.pem"), "PRIVATE KEY", keys.getKey("node", PASSWORD).getEncoded());
    trusted.load(null);
    trusted.setCertificateEntry("node", keys.getCertificate("node"));
  }

  private static Path pem(Path file, String what, byte[] content) throws IOException {
    String text =
        Base64.getMimeEncoder(64, "\n".getBytes(StandardCharsets.US_ASCII)).encodeToString(content);
    return Files.writeString(
        file, "-----BEGIN " + what + "-----\n" + text + "\n-----END " + what + "-----\n");
  }

  String tlsSettings(int handshakes) {
    return "{\"certificate\":\""
        + certificate
        + "\",\"key\":\""
        + key
        + "\",\"handshakes\":"
        + handshakes
        + "}";
  }

  /** A client that trusts it, and remembers no session of another. */
  SSLContext trustingContext() throws GeneralSecurityException {
    TrustManagerFactory trust =
        TrustManagerFactory.getInstance(TrustManagerFactory.getDefaultAlgorithm());
    trust.init(trusted);
    SSLContext context = SSLContext.getInstance("TLS");
    context.init(null, trust.getTrustManagers(), null);
    return context;
  }
}
