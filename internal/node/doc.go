// Package node builds one instance of the load balancer from its parts: a frontend for clients, a router with the
// balancer, a transport to servers and a watcher of the endpoint list, over whatever network it is given. It knows no
// environment, no signal and no limit of its machine; those are package program's.
//
// During an upgrade two processes are one node. Package handover has the link between them; here, predecessor.go is the
// side of the process in service, and successor.go that of the new one.
package node
