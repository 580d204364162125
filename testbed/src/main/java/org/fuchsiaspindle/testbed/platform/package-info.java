/** HTTP stand-ins for services of the platform, with faults that can be enabled. */
package org.fuchsiaspindle.testbed.platform;
