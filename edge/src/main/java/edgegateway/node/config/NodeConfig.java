package edgegateway.node.config;

import edgegateway.node.connections.ConnectionLimits;
import edgegateway.node.connections.TlsTermination;
import edgegateway.node.zones.ZoneEjectionSettings;
import edgegateway.policy.api.PolicySettings;
import edgegateway.protocol.EndpointList;
import edgegateway.protocol.SettingNames;
import java.net.InetSocketAddress;

/**
 * The configuration of a node, as {@link NodeConfigParser} reads it.
 *
 * @param listen address at which the node accepts clients
 * @param discovery address of discovery; a change takes effect while the node runs
 * @param counter address of the shared quota counter; a change takes effect while the node runs;
 *     null if there is no counter
 * @param operators address at which the node accepts operators' calls; null for none
 * @param seed seed of all random numbers
 * @param maxDescriptors maximum number of file descriptors of the node; 1,024 by default
 * @param memoryBytes maximum memory of the node's processes; 192 MB by default
 * @param connections limits on connections that the file sets; {@link ConnectionLimits#NONE} by
 *     default
 * @param tls TLS settings of clients' connections; null, the default, if they are not encrypted
 * @param zones how the fleet ejects zones; null, the default, if only operators do
 * @param knownEndpoints the last endpoint list known before the start; empty if there was none
 * @param connectTimeoutNanos time after which opening a connection to an archive server fails
 * @param keepAliveNanos idle time after which an archive server closes a connection
 * @param names names of the request classes, quota plans, zones and machine types, which the
 *     settings refer to by index
 * @param settings settings of the policy
 */
public record NodeConfig(
    InetSocketAddress listen,
    InetSocketAddress discovery,
    InetSocketAddress counter,
    InetSocketAddress operators,
    long seed,
    int maxDescriptors,
    long memoryBytes,
    ConnectionLimits connections,
    TlsTermination.Settings tls,
    ZoneEjectionSettings zones,
    EndpointList knownEndpoints,
    long connectTimeoutNanos,
    long keepAliveNanos,
    SettingNames names,
    PolicySettings settings) {}
