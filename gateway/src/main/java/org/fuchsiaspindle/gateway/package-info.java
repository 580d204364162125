/**
 * The gateway: the process that accepts clients' requests and batch jobs and runs them at targets.
 *
 * <p>One event loop carries clients, targets and peers; another one follows the platform's store
 * and publishes immutable views of the fleet.
 */
package org.fuchsiaspindle.gateway;
