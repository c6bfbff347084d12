/** The lab's command line. */
package edgegateway.testbed.cli;
