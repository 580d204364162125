/** What a gateway knows of the fleet, as immutable views that are replaced as a whole. */
package org.fuchsiaspindle.gateway.view;
