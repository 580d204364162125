/** The HTTP server of the stand-ins, which shares no code with the system under test. */
package org.fuchsiaspindle.testbed.http;
