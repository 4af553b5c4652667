// Package node builds one instance of the load balancer from its components: a frontend for clients, a router with the
// balancer, a transport to servers and a watcher of the endpoint list. The caller provides the network. Environment
// variables, signals and the limits of the machine are handled by package program.
//
// During an upgrade a node has two processes, connected by a link of package handover. In this package, predecessor.go
// has the code of the process in service and successor.go the code of the new process.
package node
