// Package fleet tests a fleet of real processes. The rig starts several processes of the program, forwards the messages
// between them through relays, injects the faults of a script into the processes, their directories and the network
// between them, and judges a run by its external effects and by the records of the processes. Peers are the stand-in
// upstream servers to which the processes send requests.
package fleet
