/** The adapter that runs the decision module on the simulator's wire. */
package edgegateway.simulator;
