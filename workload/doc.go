// Package workload generates seeded workloads shaped like the deployments and
// runs placement policies on them over virtual time, to compare policies. It is
// an event loop over ClusterState: there are no processes, messages or network.
package workload
