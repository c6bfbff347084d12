/** The lab's command line. */
package thistlefall.lab.cli;
