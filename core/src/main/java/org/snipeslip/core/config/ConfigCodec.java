package org.snipeslip.core.config;

import io.vavr.control.Either;
import java.util.List;
import org.snipeslip.core.error.ConfigFault;

/** Encodes and decodes the stored form of a configuration. */
public interface ConfigCodec {
    /**
     * Decodes a head.
     *
     * @param text stored JSON text
     * @return the head, or the reason why it cannot be decoded
     */
    Either<ConfigFault, ConfigHead> decodeHead(String text);

    /**
     * Encodes a head.
     *
     * @param head the head
     * @return JSON text to store
     */
    String encodeHead(ConfigHead head);

    /**
     * Decodes the objects of a generation.
     *
     * @param head the head
     * @param parts all parts that the head lists
     * @return the set, or the first fault
     */
    Either<ConfigFault, ConfigSet> decode(ConfigHead head, List<ConfigPart> parts);

    /**
     * Computes the digest that identifies a part.
     *
     * @param text stored text of the part
     * @return SHA-256 in hexadecimal
     */
    String digest(String text);
}
