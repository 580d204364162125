/** Loopback ports for processes that are told their ports in advance. */
package org.fuchsiaspindle.testbed.port;
