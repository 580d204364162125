/**
 * Assigns the slots of targets to requests and batch items.
 *
 * <p>The targets of a service in one data centre form pools. One gateway coordinates each pool: it
 * knows every running request there and decides which request or item gets a free slot, which batch
 * item is preempted, and what waits. A coordinator holds no lasting state; if it is lost, another
 * gateway learns the assigned slots from their holders.
 */
package org.fuchsiaspindle.core.slot;
