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

/** A self-signed certificate and its key as PEM files, generated with the JDK's keytool. */
final class TestCertificate {
  private static final char[] PASSWORD = "for-tests".toCharArray();
  private final Path certificate;
  private final Path key;
  private final KeyStore trustStore = KeyStore.getInstance(KeyStore.getDefaultType());

  TestCertificate(Path dir) throws GeneralSecurityException, IOException, InterruptedException {
    Path keyStoreFile = dir.resolve("store.p12");
    Process keytool =
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
                keyStoreFile.toString(),
                "-storepass",
                new String(PASSWORD))
            .inheritIO()
            .start();
    if (keytool.waitFor() != 0) {
      throw new IOException("keytool failed to generate a certificate");
    }
    KeyStore keys = KeyStore.getInstance("PKCS12");
    try (InputStream in = Files.newInputStream(keyStoreFile)) {
      keys.load(in, PASSWORD);
    }
    certificate =
        toPem(
            dir.resolve("certificate.pem"),
            "CERTIFICATE",
            keys.getCertificate("node").getEncoded());
    key = toPem(dir.resolve("key.pem"), "PRIVATE KEY", keys.getKey("node", PASSWORD).getEncoded());
    trustStore.load(null);
    trustStore.setCertificateEntry("node", keys.getCertificate("node"));
  }

  /** Writes a PEM file and returns its path. */
  private static Path toPem(Path file, String label, byte[] content) throws IOException {
    String text =
        Base64.getMimeEncoder(64, "\n".getBytes(StandardCharsets.US_ASCII)).encodeToString(content);
    return Files.writeString(
        file, "-----BEGIN " + label + "-----\n" + text + "\n-----END " + label + "-----\n");
  }

  /** The configuration's {@code tls} section as JSON, with a limit of concurrent handshakes. */
  String tlsSettings(int maxHandshakes) {
    return "{\"certificate\":\""
        + certificate
        + "\",\"key\":\""
        + key
        + "\",\"handshakes\":"
        + maxHandshakes
        + "}";
  }

  /** A client-side context that trusts this certificate and has an empty session cache. */
  SSLContext trustingContext() throws GeneralSecurityException {
    TrustManagerFactory trustManagers =
        TrustManagerFactory.getInstance(TrustManagerFactory.getDefaultAlgorithm());
    trustManagers.init(trustStore);
    SSLContext context = SSLContext.getInstance("TLS");
    context.init(null, trustManagers.getTrustManagers(), null);
    return context;
  }
}
