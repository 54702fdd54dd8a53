package org.snipeslip.cli;

import java.net.URI;
import java.net.URISyntaxException;
import joptsimple.ValueConversionException;
import joptsimple.ValueConverter;

/** Parses an option value as an origin such as http://127.0.0.1:8000. */
final class OriginConverter implements ValueConverter<URI> {
    @Override
    public URI convert(String value) {
        try {
            URI uri = new URI(value.endsWith("/") ? value.substring(0, value.length() - 1) : value);
            if ("http".equals(uri.getScheme())
                    && uri.getHost() != null
                    && uri.getPort() > 0
                    && uri.getRawPath().isEmpty()
                    && uri.getRawQuery() == null) {
                return uri;
            }
        } catch (URISyntaxException e) {
            // Falls through to the exception below, as for an incomplete URL.
        }
        throw new ValueConversionException("\"" + value + "\" is not of the form http://IP:PORT");
    }

    @Override
    public Class<URI> valueType() {
        return URI.class;
    }

    @Override
    public String valuePattern() {
        return "URL";
    }
}
