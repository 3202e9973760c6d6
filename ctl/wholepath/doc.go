// Package wholepath benchmarks a complete system of separate processes on loopback:
// the latency that an entry and an agent add to a request, the throughput of one entry,
// and how the memory, processor time and messages of each process grow with the load
// and the configuration. It holds benchmarks only; docs/measurements gives the command
// for each figure.
package wholepath
