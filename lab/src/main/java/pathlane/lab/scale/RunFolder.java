package pathlane.lab.scale;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.PosixFilePermissions;
import java.security.SecureRandom;
import java.util.HexFormat;
import java.util.function.Supplier;
import pathlane.core.Scheduler;
import pathlane.group.AuthenticatedLink;
import pathlane.group.KeyRing;
import pathlane.transport.RateLimitedLog;

/** The files that the processes of one run share. */
record RunFolder(Path folder) {

    private static final int KEY_BYTES = 32;
    private static final int NONCE_BYTES = 16;

    Path topologyFile() {
        return folder.resolve("topology.json");
    }

    Path keysFile() {
        return folder.resolve("keys");
    }

    Path commitLogFile() {
        return folder.resolve("commits");
    }

    Path digestFile() {
        return folder.resolve("digests");
    }

    Path logFile(String process) {
        return folder.resolve(process + ".log");
    }

    /** Draws the run's key. */
    void writeKeys() {
        byte[] secret = new byte[KEY_BYTES];
        new SecureRandom().nextBytes(secret);
        try {
            Files.createFile(keysFile(), PosixFilePermissions.asFileAttribute(PosixFilePermissions.fromString("rw-------")));
            Files.writeString(keysFile(), "scale " + HexFormat.of().formatHex(secret) + "\n");
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    KeyRing readKeys() {
        try {
            return KeyRing.read(Files.readString(keysFile()));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** What the links of one party share. */
    static AuthenticatedLink.Context linkCommon(String name, KeyRing keys, Scheduler scheduler, RateLimitedLog log) {
        SecureRandom random = new SecureRandom();
        Supplier<byte[]> nonces = () -> {
            byte[] nonce = new byte[NONCE_BYTES];
            random.nextBytes(nonce);
            return nonce;
        };
        return new AuthenticatedLink.Context(name, () -> keys, nonces, scheduler, log);
    }
}
