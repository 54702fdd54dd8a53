package org.snipeslip.core.config;

import io.vavr.control.Either;
import java.util.List;
import org.snipeslip.core.error.ConfigFault;

/** Converts between the stored form of a configuration and its objects. */
public interface ConfigCodec {
    /**
     * Reads a head.
     *
     * @param text stored text
     * @return the head, or why it cannot be read
     */
    Either<ConfigFault, ConfigHead> decodeHead(String text);

    /**
     * Writes a head.
     *
     * @param head the head
     * @return stored text
     */
    String encodeHead(ConfigHead head);

    /**
     * Reads the objects of a generation.
     *
     * @param head the head
     * @param parts all its parts
     * @return the set, or the first fault
     */
    Either<ConfigFault, ConfigSet> decode(ConfigHead head, List<ConfigPart> parts);

    /**
     * Computes the digest of a part's text.
     *
     * @param text stored text
     * @return SHA-256 in hexadecimal
     */
    String digest(String text);
}
