package org.crocushaven.configuration.check;

import java.util.regex.Pattern;

/** Recognises IP addresses, with or without a port, without name resolution. */
public final class IpAddress {
    /** The largest port number. */
    public static final int MAXIMUM_PORT = 65_535;

    private static final String OCTET = "(25[0-5]|2[0-4][0-9]|1[0-9]{2}|[1-9]?[0-9])";
    private static final Pattern IPV4 = Pattern.compile(OCTET + "(\\." + OCTET + "){3}");
    private static final String GROUP = "[0-9a-fA-F]{1,4}";
    private static final Pattern IPV6_FULL = Pattern.compile(GROUP + "(:" + GROUP + "){7}");
    private static final Pattern IPV6_COMPRESSED =
            Pattern.compile("(" + GROUP + "(:" + GROUP + ")*)?::(" + GROUP + "(:" + GROUP + ")*)?");
    private static final int IPV6_GROUPS = 8;
    private static final Pattern PORT = Pattern.compile("[1-9][0-9]{0,4}");

    private IpAddress() {}

    /** Returns whether the text is an IPv4 address or an IPv6 address without brackets. */
    public static boolean isValid(String text) {
        return IPV4.matcher(text).matches() || isIpv6(text);
    }

    /**
     * Returns whether the text is an IP address and a port, such as {@code 127.0.0.1:80} or {@code
     * [::1]:80}.
     */
    public static boolean isValidSocketAddress(String text) {
        final int separator = text.lastIndexOf(':');
        if (separator < 0 || !isPort(text.substring(separator + 1))) {
            return false;
        }
        final String host = text.substring(0, separator);
        if (host.startsWith("[") && host.endsWith("]")) {
            return isIpv6(host.substring(1, host.length() - 1));
        }
        return IPV4.matcher(host).matches();
    }

    private static boolean isIpv6(String text) {
        if (IPV6_FULL.matcher(text).matches()) {
            return true;
        }
        return IPV6_COMPRESSED.matcher(text).matches()
                && text.replace("::", ":").split(":").length < IPV6_GROUPS;
    }

    private static boolean isPort(String text) {
        return PORT.matcher(text).matches() && Integer.parseInt(text) <= MAXIMUM_PORT;
    }
}
