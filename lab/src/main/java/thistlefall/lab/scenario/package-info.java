/** Scenarios: what is played, and playing it ({@code docs/design/lab.md}). */
package thistlefall.lab.scenario;
