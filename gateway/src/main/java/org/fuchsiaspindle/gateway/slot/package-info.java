/**
 * The slots of targets as gateways request, hold and assign them.
 *
 * <p>{@link org.fuchsiaspindle.gateway.slot.SlotClient} requests slots from the coordinators of
 * pools, {@link org.fuchsiaspindle.gateway.slot.SlotCoordinator} assigns them. All types are
 * confined to the event loop of the request path.
 */
package org.fuchsiaspindle.gateway.slot;
