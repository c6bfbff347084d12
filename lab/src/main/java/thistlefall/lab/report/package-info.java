/** What a play came to, for people. */
package thistlefall.lab.report;
