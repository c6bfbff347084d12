/** What a play came to, for people. */
package edgegateway.testbed.report;
