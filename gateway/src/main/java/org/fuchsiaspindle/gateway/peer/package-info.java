/** The connections between gateways, over which they share loads and what they know. */
package org.fuchsiaspindle.gateway.peer;
