/** What a host calls on the decision module, what it is asked for, and the types of both. */
package edgegateway.policy.api;
