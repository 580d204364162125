package org.fuchsiaspindle.core.limit;

/**
 * Sends messages about limits to gateways, which may be the sender itself. A message is never
 * handled before the method returns.
 */
@FunctionalInterface
public interface LimitSender {

    /**
     * Sends a message, which may be lost or delayed.
     *
     * @param gateway the address of the receiver, not null
     * @param message the message, not null
     */
    void send(String gateway, LimitMessage message);
}
