/** Command-line demo that sends requests of each kind to an embedded fleet. */
package org.fuchsiaspindle.testbed.demo;
